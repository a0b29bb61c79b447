// The line format of the simulator's protocol: tokens separated by single spaces, where "-" marks an absent
// value.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace silverrail::routing::adapter {

inline constexpr std::string_view kAbsent = "-";

using Tokens = std::vector<std::string_view>;

// A malformed line. what() says what was expected but does not include the line number.
class ProtocolError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Splits `string` at each separator. The parts may be empty and refer to `string`.
Tokens split(std::string_view string, char separator);

// Parses all of `string` as a number. Absent if it is not a number.
std::optional<double> parse_number(std::string_view string);
std::optional<std::int64_t> parse_integer(std::string_view string);

// A keyword of the protocol and its value.
template <class Value>
struct Keyword {
    std::string_view keyword;
    Value value;
};

// Returns the value of `keyword`; absent if the table does not contain it.
template <class Value, std::size_t N>
std::optional<Value> find_keyword(const std::array<Keyword<Value>, N>& table, std::string_view keyword) {
    for (const Keyword<Value>& entry : table) {
        if (entry.keyword == keyword)
            return entry.value;
    }
    return std::nullopt;
}

}  // namespace silverrail::routing::adapter

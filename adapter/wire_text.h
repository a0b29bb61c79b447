// The text of the simulator's wire: lines of words with a blank between them, where "-" stands for an absent
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

using Words = std::vector<std::string_view>;

// A line that does not follow the wire's rules. what() says what was expected; it does not name the line.
class WireError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The parts of `text` between the separators, empty ones among them. They refer to `text`.
Words split(std::string_view text, char separator);

// The whole of `text` as a number; absent if it is none.
std::optional<double> parse_number(std::string_view text);
std::optional<std::int64_t> parse_integer(std::string_view text);

// A word of the wire and what it stands for.
template <class Value>
struct WireWord {
    std::string_view word;
    Value value;
};

// What `word` stands for; absent if the table does not have it.
template <class Value, std::size_t N>
std::optional<Value> find_word(const std::array<WireWord<Value>, N>& table, std::string_view word) {
    for (const WireWord<Value>& entry : table) {
        if (entry.word == word)
            return entry.value;
    }
    return std::nullopt;
}

}  // namespace silverrail::routing::adapter

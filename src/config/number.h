// Numbers in texts from outside.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace silverrail::config {

// The whole text as a number, in base 10 and as std::from_chars reads it: no blanks and no plus sign. Absent
// if it is anything else or out of Number's range.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}  // namespace silverrail::config

// Strict parsing of numbers from untrusted input.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace silverrail::config {

// Parses the whole of `text` as a base-10 number in the format of std::from_chars: no whitespace and no plus
// sign. Returns nothing for other input and for values outside the range of Number.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}  // namespace silverrail::config

#include "wire_text.h"

#include <charconv>
#include <system_error>

namespace silverrail::routing::adapter {

namespace {

template <class Number>
std::optional<Number> parse_whole(std::string_view text) {
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

}  // namespace

Words split(std::string_view text, char separator) {
    Words parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

std::optional<double> parse_number(std::string_view text) {
    return parse_whole<double>(text);
}

std::optional<std::int64_t> parse_integer(std::string_view text) {
    return parse_whole<std::int64_t>(text);
}

}  // namespace silverrail::routing::adapter

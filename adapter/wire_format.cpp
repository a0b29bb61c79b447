#include "wire_format.h"

#include <charconv>
#include <system_error>

namespace silverrail::routing::adapter {

namespace {

template <class Number>
std::optional<Number> parse_all(std::string_view string) {
    Number value = 0;
    const auto [end, error] = std::from_chars(string.data(), string.data() + string.size(), value);
    if (error != std::errc{} || end != string.data() + string.size())
        return std::nullopt;
    return value;
}

}  // namespace

Tokens split(std::string_view string, char separator) {
    Tokens parts;
    while (true) {
        const auto end = string.find(separator);
        parts.push_back(string.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        string.remove_prefix(end + 1);
    }
}

std::optional<double> parse_number(std::string_view string) {
    return parse_all<double>(string);
}

std::optional<std::int64_t> parse_integer(std::string_view string) {
    return parse_all<std::int64_t>(string);
}

}  // namespace silverrail::routing::adapter

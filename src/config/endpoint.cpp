#include "config/endpoint.h"

#include <charconv>

namespace silverrail::config {

namespace {

std::string_view without_brackets(std::string_view host) {
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    Endpoint endpoint;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc{} || end != port.data() + port.size())
        return std::nullopt;
    endpoint.host = without_brackets(text.substr(0, colon));
    return endpoint;
}

}  // namespace silverrail::config

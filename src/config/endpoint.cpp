#include "config/endpoint.h"

#include "config/number.h"

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
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    return Endpoint{std::string{without_brackets(text.substr(0, colon))}, *port};
}

}  // namespace silverrail::config

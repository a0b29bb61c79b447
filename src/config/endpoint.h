// Parsing of "host:port" addresses from settings and discovery.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace silverrail::config {

struct Endpoint {
    std::string host;  // without brackets
    std::uint16_t port = 0;
};

// Parses "HOST:PORT" or "[IPV6]:PORT". The host is not validated.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace silverrail::config

// Addresses with a port, as settings and discovery write them.
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

// "HOST:PORT" or "[V6]:PORT". The host is not checked.
std::optional<Endpoint> parse_endpoint(std::string_view text);

}  // namespace silverrail::config

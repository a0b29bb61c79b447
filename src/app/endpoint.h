// Addresses in settings as socket endpoints.
#pragma once

#include "config/config.h"
#include "net/asio.h"

namespace silverrail::app {

// Parses "ADDRESS:PORT"; throws config::ConfigError.
inline net::tcp::endpoint endpoint_of(const std::string& text) {
    const auto endpoint = config::parse_endpoint(text);
    if (!endpoint)
        throw config::ConfigError("not an address and a port: " + text);
    return {net::asio::ip::make_address(endpoint->host), endpoint->port};
}

}  // namespace silverrail::app

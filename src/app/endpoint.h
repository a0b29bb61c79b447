// A place to listen at or to connect to, as settings name it.
#pragma once

#include "config/config.h"
#include "net/asio.h"

namespace silverrail::app {

// address:port; throws config::ConfigError.
inline net::tcp::endpoint endpoint_of(const std::string& text) {
    const auto e = config::parse_endpoint(text);
    if (!e)
        throw config::ConfigError("not an address and a port: " + text);
    return {net::asio::ip::make_address(e->host), e->port};
}

}  // namespace silverrail::app

// Includes Asio and Beast, whose implementations are compiled once, in asio.cpp.
#pragma once

// Asio 1.74 uses std::exchange without including this header, so it must come first.
// clang-format off
#include <utility>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
// clang-format on

#include <string_view>

#include "core/types.h"

namespace silverrail::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Converts Beast 1.74's own string view type.
inline std::string_view to_string_view(beast::string_view view) {
    return {view.data(), view.size()};
}

// Converts an address to the core's binary form.
core::ClientAddress client_address(const asio::ip::address& address);

}  // namespace silverrail::net

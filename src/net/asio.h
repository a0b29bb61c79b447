// Asio and Beast as this program uses them: compiled once, in asio.cpp.
#pragma once

// Asio 1.74 uses std::exchange without this header, so it has to come first.
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

// Beast 1.74 has a string view of its own.
inline std::string_view to_string_view(beast::string_view text) {
    return {text.data(), text.size()};
}

// As the core has it: bytes, no text.
core::ClientAddress client_address(const asio::ip::address& address);

}  // namespace silverrail::net

// Asio and Beast as this program uses them: compiled once, in asio.cpp.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>  // Asio 1.74 forgets it

namespace silverrail::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

}  // namespace silverrail::net

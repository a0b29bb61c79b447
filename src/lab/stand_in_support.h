// What stand-ins on loopback have in common.
#pragma once

#include <unistd.h>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <string>

#include "net/asio.h"

namespace silverrail::lab {

inline constexpr unsigned kHttpVersion = 11;  // HTTP/1.1, as Beast writes it

// A port of 127.0.0.1 that the system chooses.
inline net::tcp::endpoint loopback_endpoint() {
    return {net::asio::ip::make_address("127.0.0.1"), 0};
}

// A loopback address of this process alone, by the last two numbers of the address. Ports that one run has
// let go may be taken by another one beside it, which must not be reached by mistake.
inline net::asio::ip::address own_loopback_address(std::size_t third, std::size_t fourth) {
    constexpr int kFirst = 1;
    constexpr int kCount = 254;
    const std::string second = std::to_string(kFirst + ::getpid() % kCount);
    return net::asio::ip::make_address("127." + second + "." + std::to_string(third) + "." +
                                       std::to_string(fourth));
}

// ADDRESS:PORT
inline std::string address_text(const net::tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// The wall clock's time in milliseconds since 1970.
inline std::int64_t unix_time_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// The number at the beginning of a header field; 0 if there is none.
inline std::int64_t header_number(net::beast::string_view text) {
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}  // namespace silverrail::lab

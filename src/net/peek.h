// What a socket holds, without reading it.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "net/asio.h"

namespace silverrail::net {

// recv, begun anew where a signal came between.
inline ssize_t receive_now(tcp::socket& socket, void* into, std::size_t size, int flags) {
    while (true) {
        const auto got = ::recv(socket.native_handle(), into, size, flags | MSG_DONTWAIT);
        if (got >= 0 || errno != EINTR)
            return got;
    }
}

// As recv of one byte: 1, or 0 at the other side's end, or -1 with errno, EAGAIN where nothing has come.
inline ssize_t peek(tcp::socket& socket) {
    char byte = 0;
    return receive_now(socket, &byte, 1, MSG_PEEK);
}

// The same, and what was read is taken out of the socket.
inline ssize_t take_now(tcp::socket& socket, const asio::mutable_buffer& into) {
    return receive_now(socket, into.data(), into.size(), 0);
}

}  // namespace silverrail::net

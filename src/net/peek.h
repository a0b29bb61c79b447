// What a socket holds, without reading it.
#pragma once

#include <sys/socket.h>

#include "net/asio.h"

namespace silverrail::net {

// As recv of one byte: 1, or 0 at the other side's end, or -1 with errno, EAGAIN where nothing has come.
inline ssize_t peek(tcp::socket& socket) {
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

// The same, and what was read is taken out of the socket.
inline ssize_t take_now(tcp::socket& socket, const asio::mutable_buffer& into) {
    return ::recv(socket.native_handle(), into.data(), into.size(), MSG_DONTWAIT);
}

}  // namespace silverrail::net

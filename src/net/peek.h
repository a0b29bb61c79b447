// Non-blocking reads and peeks of a socket, whatever its own mode.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "net/asio.h"

namespace silverrail::net {

// Non-blocking recv(), restarted if a signal interrupts it.
inline ssize_t recv_nonblocking(tcp::socket& socket, void* into, std::size_t size, int flags) {
    while (true) {
        const auto got = ::recv(socket.native_handle(), into, size, flags | MSG_DONTWAIT);
        if (got >= 0 || errno != EINTR)
            return got;
    }
}

// Peeks at one byte. Returns 1, or 0 at the end of the stream, or -1 and sets errno: EAGAIN if nothing has
// arrived.
inline ssize_t peek(tcp::socket& socket) {
    char byte = 0;
    return recv_nonblocking(socket, &byte, 1, MSG_PEEK);
}

// Reads what has arrived, up to the size of `into`. Returns the number of bytes read, or 0 or -1 as peek()
// does.
inline ssize_t read_available(tcp::socket& socket, const asio::mutable_buffer& into) {
    return recv_nonblocking(socket, into.data(), into.size(), 0);
}

}  // namespace silverrail::net

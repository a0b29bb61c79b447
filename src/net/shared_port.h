// Sockets of several processes of one router that are bound to the same address, as during an upgrade.
#pragma once

#include <sys/socket.h>

#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

// exclusive: a second socket at the address is an error. shared: several processes of one router may bind to
// it; the one that did so last gets what arrives.
enum class Port { exclusive, shared };

// Lets another process with the same user bind to the socket's address, too. Call before the bind; throws
// boost::system::system_error.
template <class Socket>
void allow_sharing(Socket& socket) {
    socket.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
}

// Routes new connections, or datagrams, to the process that started later, of two that share the port. So the
// queue of the earlier one is empty long before it closes its socket; what arrives between its last read and
// the close would be lost. If the kernel rejects the filter, which is logged, it distributes over both. Call
// once the socket listens, or a datagram socket is bound.
void route_to_latest(int socket, Log& log);

}  // namespace silverrail::net

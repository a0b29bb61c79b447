// Shared by the tests of connections under adverse sequences of events: raw requests, a server that delays
// connects, and small socket buffers.
#pragma once

#include "../silverrail/test_fixture.h"

namespace silverrail::test {

namespace asio = net::asio;

inline const std::string kObject = "7f3a9c21e0b4d655";

inline std::string serialize(Request request) {
    request.prepare_payload();
    std::ostringstream out;
    out << request;
    return out.str();
}

// A server whose backlog is full until accept_connections() is called: connects to it stay pending until
// then.
class FullBacklogServer {
public:
    explicit FullBacklogServer(asio::io_context& io) : acceptor_(io), filler_(io) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        acceptor_.listen(0);
        filler_.connect(acceptor_.local_endpoint());
    }
    tcp::endpoint endpoint() const {
        return acceptor_.local_endpoint();
    }
    std::string address() const {
        return test::text_of(endpoint());
    }
    void accept_connections() {
        accept();
    }
    std::size_t connections = 0;  // accepted ones, without the filler's
    std::string received;

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            const bool from_filler = socket.remote_endpoint() == filler_.local_endpoint();
            if (!from_filler) {
                ++connections;
                sockets_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
                read(*sockets_.back());
            }
            accept();
        });
    }
    void read(tcp::socket& socket) {
        socket.async_read_some(asio::buffer(part_),
                               [this, &socket](const net::error_code& error, std::size_t got) {
                                   received.append(part_, got);
                                   if (!error)
                                       read(socket);
                               });
    }
    tcp::acceptor acceptor_;
    tcp::socket filler_;  // its connection fills the backlog
    std::vector<std::unique_ptr<tcp::socket>> sockets_;
    char part_[1024];
};

// Gives this process's connections to `to` the smallest send buffer, so that they hold few bytes that the
// other side has not read. Returns the number of these connections.
inline std::size_t shrink_send_buffers(const tcp::endpoint& to) {
    std::size_t found = 0;
    for (int fd = 3; fd < 1024; ++fd) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET)
            continue;
        if (ntohs(peer.sin_port) != to.port())
            continue;
        const int smallest = 1;  // the system raises it to its minimum
        CHECK(::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &smallest, sizeof smallest) == 0);
        ++found;
    }
    return found;
}

// Sends a request as a client that can receive only a small part of a response at once.
inline void send_with_small_buffers(asio::io_context& io, Router& router, tcp::socket& reader,
                                    const Request& request) {
    reader.open(tcp::v4());
    reader.set_option(asio::socket_base::receive_buffer_size(32 * 1024));
    reader.connect(router.server.local());
    const std::size_t before = router.server.connections();
    run_until(io, [&] { return router.server.connections() > before; });
    CHECK(shrink_send_buffers(reader.local_endpoint()) == 1);
    asio::write(reader, asio::buffer(serialize(request)));
}

}  // namespace silverrail::test

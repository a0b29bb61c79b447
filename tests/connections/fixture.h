// What the tests of bad orders share: raw requests, and sockets that hold things up until the test says
// otherwise.
#pragma once

#include "../silverrail/test_fixture.h"

namespace silverrail::test {

namespace asio = net::asio;

inline const std::string kObject = "7f3a9c21e0b4d655";

inline std::string text_of(Request request) {
    request.prepare_payload();
    std::ostringstream out;
    out << request;
    return out.str();
}

// A server whose connections come up when the test says so: its backlog is full until then.
class HeldServer {
public:
    explicit HeldServer(asio::io_context& io) : acceptor_(io), filler_(io) {
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
    void open() {
        accept();
    }
    std::size_t connections = 0;  // that came up and were not the filler
    std::string heard;

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            const bool ours = socket.remote_endpoint() == filler_.local_endpoint();
            if (!ours) {
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
                                   heard.append(part_, got);
                                   if (!error)
                                       read(socket);
                               });
    }
    tcp::acceptor acceptor_;
    tcp::socket filler_;
    std::vector<std::unique_ptr<tcp::socket>> sockets_;
    char part_[1024];
};

// Makes this process's connections to `to` hold little that the other side has not taken; how many there are.
inline std::size_t narrow(const tcp::endpoint& to) {
    std::size_t found = 0;
    for (int fd = 3; fd < 1024; ++fd) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET)
            continue;
        if (ntohs(peer.sin_port) != to.port())
            continue;
        const int least = 1;
        CHECK(::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &least, sizeof least) == 0);
        ++found;
    }
    return found;
}

// Asks as a client that takes little of an answer at once.
inline void ask_narrowly(asio::io_context& io, Router& router, tcp::socket& reader, const Request& request) {
    reader.open(tcp::v4());
    reader.set_option(asio::socket_base::receive_buffer_size(32 * 1024));
    reader.connect(router.server.local());
    const std::size_t before = router.server.connections();
    run_until(io, [&] { return router.server.connections() > before; });
    CHECK(narrow(reader.local_endpoint()) == 1);
    asio::write(reader, asio::buffer(text_of(request)));
}

}  // namespace silverrail::test

// A listening TCP socket and its accept loop. The loop pauses while the process is out of descriptors.
// Stopping first accepts the connections in the backlog, as closing the socket would reset them. A connection
// that fails before it is accepted does not affect the others.
#pragma once

#include <functional>

#include "log/log.h"
#include "net/asio.h"
#include "net/shared_port.h"

namespace silverrail::net {

class Listener {
public:
    using AcceptHandler = std::function<void(tcp::socket)>;
    struct Counters {
        std::uint64_t accepted = 0;
        std::uint64_t aborted = 0;  // connections that failed before they were accepted
        std::uint64_t pauses = 0;   // for lack of descriptors, buffers or memory
    };

    // Binds at once; throws boost::system::system_error if it cannot.
    Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log);
    // Starts to listen; no client can connect before.
    void start(AcceptHandler on_accept);
    // Accepts the connections in the backlog, then closes the socket: at once, or after some retries if the
    // process is out of descriptors.
    void stop();
    bool closed() const {
        return !acceptor_.is_open();
    }
    tcp::endpoint local() const {
        return acceptor_.local_endpoint();
    }
    const Counters& counters() const {
        return counters_;
    }
    // Called when the process runs out of descriptors, to free some.
    void when_out_of_descriptors(std::function<void()> action) {
        free_descriptors_ = std::move(action);
    }

private:
    // The meaning of an accept error: the backlog is empty; one connection has failed, but the next may not;
    // the process or host lacks the resources to accept any.
    enum class AcceptError { backlog_empty, connection_failed, out_of_resources };
    static AcceptError classify(const error_code& error);
    void accept();
    void handle_accept(const error_code& error, tcp::socket socket);
    void on_out_of_resources(const error_code& error);
    void pause(void (Listener::*then)());
    void accept_backlog();
    void close();

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    Port port_;
    Log& log_;
    AcceptHandler on_accept_;
    std::function<void()> free_descriptors_;
    Counters counters_;
    int backlog_tries_left_ = 0;
    bool stopping_ = false;
};

}  // namespace silverrail::net

// A listening TCP socket and its accept loop. Out of descriptors it pauses; stopping accepts what is in the
// backlog first, as closing would reset it. A connection that fails before it is accepted costs the others
// nothing.
#pragma once

#include <functional>

#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

class Listener {
public:
    using AcceptHandler = std::function<void(tcp::socket)>;
    struct Counters {
        std::uint64_t accepted = 0;
        std::uint64_t aborted = 0;  // connections that failed before they were accepted
        std::uint64_t pauses = 0;   // for lack of descriptors, buffers or memory
    };

    // exclusive: a second listener at the address is an error. shared: processes of one router may listen
    // there together, and the latest accepts.
    enum class Port { exclusive, shared };
    // Binds at once; throws boost::system::system_error if it cannot.
    Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log);
    // Listens from now on: nobody can connect before.
    void start(AcceptHandler on_accept);
    // Accepts what is in the backlog, then closes: at once, or after some retries if descriptors are lacking.
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
    // What an error of accept means: the backlog is empty; one connection has failed, the next may be good;
    // this machine has no resources for any.
    enum class AcceptError { backlog_empty, connection_failed, out_of_resources };
    static AcceptError classify(const error_code& error);
    void route_to_latest();
    void accept();
    void handle_accept(const error_code& error, tcp::socket socket);
    void on_out_of_resources(const error_code& error);
    void pause(void (Listener::*then)());
    void drain_backlog();
    void close();

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    Port port_;
    Log& log_;
    AcceptHandler on_accept_;
    std::function<void()> free_descriptors_;
    Counters counters_;
    int drain_attempts_left_ = 0;
    bool stopping_ = false;
};

}  // namespace silverrail::net

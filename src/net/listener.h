// A listening TCP socket and its accept loop. Running out of descriptors pauses it; stopping takes what the
// machine has accepted for us up to then, as closing would reset it. A connection that fails before it is
// taken costs the others nothing.
#pragma once

#include <functional>

#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

class Listener {
public:
    using Take = std::function<void(tcp::socket)>;
    struct Counters {
        std::uint64_t taken = 0;
        std::uint64_t aborted = 0;  // connections that failed before they were taken
        std::uint64_t pauses = 0;   // for want of descriptors, buffers or memory
    };

    // alone: another that listens there is an error. shared: processes of one router take turns.
    enum class Port { alone, shared };
    // Takes the address at once; throws boost::system::system_error if it cannot.
    Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log);
    // Listens from now on: nobody can connect before.
    void start(Take take);
    // Takes what has come up to now, then closes: at once, or after some tries where descriptors are wanting.
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
    // Frees descriptors when the process runs out of them.
    void when_out_of_descriptors(std::function<void()> action) {
        shed_ = std::move(action);
    }

private:
    // What an error of accept says: nothing waits; one connection has failed, the next may be good; this
    // machine has no room for any.
    enum class Trouble { nothing_there, connection, resources };
    static Trouble trouble_of(const error_code& error);
    void lead_to_latest();
    void accept();
    void on_accept(const error_code& error, tcp::socket socket);
    void out_of_resources(const error_code& error);
    void pause(void (Listener::*then)());
    void sweep();
    void close();

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    Port port_;
    Log& log_;
    Take take_;
    std::function<void()> shed_;
    Counters counters_;
    int sweeps_left_ = 0;
    bool stopping_ = false;
};

}  // namespace silverrail::net

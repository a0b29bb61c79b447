// A listening TCP socket and its accept loop. Running out of descriptors pauses it; stopping takes what the
// machine has accepted for us up to then, as closing would reset it.
#pragma once

#include <functional>

#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

class Listener {
public:
    using Take = std::function<void(tcp::socket)>;

    // alone: another that listens there is an error. shared: processes of one router take turns.
    enum class Port { alone, shared };
    // Takes the address at once; throws boost::system::system_error if it cannot.
    Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log);
    // Listens from now on: nobody can connect before.
    void start(Take take);
    void stop();
    tcp::endpoint local() const { return acceptor_.local_endpoint(); }
    // Frees descriptors when the process runs out of them.
    void when_out_of_descriptors(std::function<void()> action) { shed_ = std::move(action); }

private:
    void lead_to_latest();
    void accept();
    void on_accept(const error_code& error, tcp::socket socket);
    void pause();

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    asio::steady_timer retry_;
    Port port_;
    Log& log_;
    Take take_;
    std::function<void()> shed_;
    bool stopping_ = false;
};

}  // namespace silverrail::net

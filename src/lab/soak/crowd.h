// Clients that hold a router's memory: each stops near the end of a large write, and comes back when it is
// sent away. Nothing of what they send is complete, so no answer is judged.
#pragma once

#include "lab/soak/async.h"
#include "lab/soak/clients.h"

namespace silverrail::lab::soak {

class Crowd {
public:
    // `clients` must outlive the crowd; `each`: connections to each router.
    Crowd(asio::io_context& io, Clients& clients, std::size_t each)
        : io_(io), clients_(clients), each_(each) {}
    // Until the event loop ends.
    void start(std::size_t routers);

private:
    Task<> hold(std::size_t router);

    asio::io_context& io_;
    Clients& clients_;
    std::size_t each_;
};

}  // namespace silverrail::lab::soak

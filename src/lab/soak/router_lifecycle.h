// The life of the soak's routers: started, ended as the platform does it, killed, stopped for a while, and
// given new configurations. A process that ends by itself, or is not ready in time, is a violation.
#pragma once

#include <optional>
#include <vector>

#include "lab/soak/async.h"
#include "lab/soak/clients.h"
#include "lab/soak/discovery.h"
#include "lab/soak/router_processes.h"

namespace silverrail::lab::soak {

// What a router is sent at a planned end.
enum class TerminationSignals {
    term,
    term_and_hangup,  // SIGHUP right behind SIGTERM
    term_twice,       // the second one while it drains
};

// How long a router may take to answer after its start.
inline constexpr Millis kStartTimeout{30'000};    // all of them at once
inline constexpr Millis kRestartTimeout{10'000};  // one of them

struct TerminationOptions {
    Millis longest_deadline = terms::kLongestDeadline;  // of all classes
    // Clients use open connections until the router has ended, and SIGKILL comes as early as it may.
    bool use_until_kill = false;
};

// Keeps the clients' and the oracle's view of each router up to date. Runs on the thread of `io`; every
// referred object must outlive it, and it must outlive `io`'s last handler.
class RouterLifecycle {
public:
    RouterLifecycle(asio::io_context& io, Oracle& oracle, Discovery& discovery, RouterProcesses& processes,
                    Clients& clients, const TerminationOptions& termination);

    // Starts all routers, each at a port of its own, and returns when all of them answer.
    Task<> start_all();
    // Ends all routers at once, so that each logs what it has counted.
    Task<> terminate_all();
    // Restarts each router that ends by itself, until terminate_all() has ended.
    Task<> watch_for_crashes();

    // While a router is already being ended and started again, these two do nothing.
    Task<> restart(std::size_t router, TerminationSignals signals);
    Task<> kill_and_restart(std::size_t router);

    // SIGSTOP for `length`; does nothing while it is stopped.
    Task<> suspend(std::size_t router, Millis length);
    // SIGHUP with a new configuration; `half_written_first`: with one that breaks off before it.
    Task<> reload(std::size_t router, bool half_written_first);
    // Discovery at a new address, and SIGHUP.
    void move_discovery(std::size_t router);

private:
    struct Router {
        bool ready = false;
        bool restarting = false;  // being ended and started again
        bool stopped = false;
        Clock::duration stopped_for{};  // the sum of all stops that are over
    };
    RouterAvailability& availability(std::size_t router) {
        return clients_.availability(router);
    }
    std::string label(std::size_t router) const;
    bool all_ready() const;
    tcp::endpoint free_endpoint(std::size_t router);
    void write_configuration(std::size_t router);
    Task<> start(std::size_t router, Millis timeout);
    Task<bool> wait_until_ready(std::size_t router, Millis timeout);
    Task<bool> answers(std::size_t router);
    Task<> terminate(std::size_t router, TerminationSignals signals);
    Millis termination_timeout() const;
    Task<std::optional<int>> wait_for_exit(std::size_t router, Moment signalled_at);
    Task<> terminate_last(std::size_t router);

    asio::io_context& io_;
    Oracle& oracle_;
    Discovery& discovery_;
    RouterProcesses& processes_;
    Clients& clients_;
    TerminationOptions termination_;
    std::vector<Router> routers_;
    bool terminated_ = false;
};

}  // namespace silverrail::lab::soak

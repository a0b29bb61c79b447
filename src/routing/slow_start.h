// Slow start: limits the requests to a server that has just started to this router's share of what a cold
// server can handle. Implemented as a token bucket in seconds of sending time.
#pragma once

#include "routing/server_table.h"

namespace silverrail::routing {

class SlowStart {
public:
    // `settings` must outlive the object.
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    bool is_warming_up(const ServerState& server, Time now) const;

    // True if the budget covers `work` (seconds). `countable` is false for a redirected client: the number
    // of its requests is unknown, so that no budget covers it.
    bool admits(ServerState& server, double work, bool countable, Time now) const;

    void charge(ServerState& server, double work, Time now) const;

    // Returns a charge for work that did not reach the server.
    static void refund(ServerState& server, double work) {
        server.slow_start_budget += work;
    }

private:
    struct Ramp {
        double initial_share;
        Span duration;
        double overload_multiple;
        int routers;  // that share the server
    };
    Ramp ramp_of(const ServerState& server) const;
    double refill(ServerState& server, Time now) const;

    const Settings& settings_;
};

}  // namespace silverrail::routing

// Slow start: a server that has just started gets no more than this router's share of what a cold server
// bears, as a token bucket in seconds of sending time.
#pragma once

#include "routing/server_table.h"

namespace silverrail::routing {

class SlowStart {
public:
    // `settings` must outlive it.
    explicit SlowStart(const Settings& settings) : settings_(settings) {}

    bool is_warming_up(const ServerState& server, Time now) const;

    // Is there budget for so much work (seconds)? `countable`: false for a redirected client, which brings
    // more requests than can be counted and is never covered by a budget.
    bool admits(ServerState& server, double work, bool countable, Time now) const;

    void charge(ServerState& server, double work, Time now) const;

    // Gives back a charge whose work never reached the server.
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

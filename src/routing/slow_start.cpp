#include "routing/slow_start.h"

#include <algorithm>

#include "routing/durations.h"

namespace silverrail::routing {

namespace {

// Fractions of the router's share; the remainder is a margin for random variation in every window.
constexpr double kRateShare = 0.6;
constexpr double kBurstShare = 0.25;

}  // namespace

SlowStart::Ramp SlowStart::ramp_of(const ServerState& server) const {
    if (server.role == ServerRole::parent)
        return {settings_.parent_slow_start_share, settings_.parent_slow_start_duration,
                settings_.parent_overload_multiple, settings_.routers};
    return {settings_.slow_start_share, settings_.slow_start_duration, settings_.overload_multiple,
            settings_.routers_in_zone};
}

bool SlowStart::is_warming_up(const ServerState& server, Time now) const {
    return server.role != ServerRole::origin && server.started_at &&
           now < *server.started_at + ramp_of(server).duration;
}

bool SlowStart::admits(ServerState& server, double work, bool countable, Time now) const {
    if (!is_warming_up(server, now))
        return true;
    return countable && refill(server, now) >= work;
}

void SlowStart::charge(ServerState& server, double work, Time now) const {
    if (is_warming_up(server, now))
        server.slow_start_budget -= work;
}

double SlowStart::refill(ServerState& server, Time now) const {
    const Ramp ramp = ramp_of(server);
    const double ramp_progress =
        std::clamp(to_seconds(now - *server.started_at) / to_seconds(ramp.duration), 0.0, 1.0);
    const double capacity_share = ramp.initial_share + (1 - ramp.initial_share) * ramp_progress;
    const double share = ramp.overload_multiple * server.weight * capacity_share / std::max(1, ramp.routers);
    const double elapsed = std::max(0.0, to_seconds(now - server.slow_start_refilled_at));
    const double burst = share * kBurstShare * to_seconds(settings_.overload_window);
    server.slow_start_budget = std::min(server.slow_start_budget + elapsed * share * kRateShare, burst);
    server.slow_start_refilled_at = now;
    return server.slow_start_budget;
}

}  // namespace silverrail::routing

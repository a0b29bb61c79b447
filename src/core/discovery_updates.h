// Applies updates from discovery, operators and other routers on servers and purges, and notifies the
// decision module of the resulting changes.
#pragma once

#include <functional>
#include <set>

#include "core/engine_state.h"
#include "core/response_cache_stage.h"
#include "core/routing_stage.h"

namespace silverrail::core {

class DiscoveryUpdates {
public:
    DiscoveryUpdates(EngineState& state, ResponseCacheStage& cache, RoutingStage& routing)
        : state_(state), cache_(cache), routing_(routing) {}

    // Events from discovery, in order. `max_age`: upper bound on the event's age, from the time at which the
    // discovery watch was last complete. If the event is older by the wall clock, the clock is wrong.
    void apply(ServerChange change, Span max_age);
    void apply(const PurgeNotice& purge, Span max_age);

    void set_overrides(const overrides::ServerOverrides& overrides);
    void set_reported_outliers(std::set<ServerId> ids);
    void set_zone_factors(const ZoneFactors& factors);

private:
    ServerChange ended_processes(const ServerChange& change) const;
    Time started_at(const Server& server, Time now, Span max_age);
    void change_exclusions(const std::function<void()>& change);
    std::optional<Server> changed_server(const Server& server, const routing::ListedServer& before);
    void note_if_late(Span age, Time now);
    void confirm_earlier_purges(const PurgeNotice& purge, Time now);
    void notify_routing(const ServerChange& change);

    EngineState& state_;
    ResponseCacheStage& cache_;
    RoutingStage& routing_;
};

}  // namespace silverrail::core

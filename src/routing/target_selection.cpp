#include "routing/target_selection.h"

#include <algorithm>

#include "routing/hashing.h"

namespace silverrail::routing {

namespace {

constexpr double kBusyLatency = 0.5;  // in latency objectives: a slower parent has no room for others' fills

bool was_tried(const OpenRequest& open, const ServerState& server) {
    return std::any_of(open.attempts.begin(), open.attempts.end(), [&](const Attempt& attempt) {
        return !attempt.found_nothing && (attempt.target == server.id || attempt.source == server.id);
    });
}

// Segments of one object are spread over the caches: a client asks for one after another, and one cache's
// link would carry them all.
std::uint64_t cache_key(const Request& request, bool segmented) {
    const std::uint64_t segment = segmented ? mix_bits(request.segment + 1) : 0;
    return static_cast<std::uint64_t>(request.object) + segment;
}

}  // namespace

bool TargetSelector::is_admitted(ServerState& server, const OpenRequest& open, double work, Time now) const {
    return outliers_.admits(server, now) && slow_start_.admits(server, work, !open.request.redirected, now);
}

ServerState* TargetSelector::select_cache(const OpenRequest& open, double work, Time now) const {
    ServerState* crowded = nullptr;
    ServerState* tried = nullptr;
    const std::uint64_t key = cache_key(open.request, class_of(open).segmented);
    for (const auto& [cost, cache] : servers_.in_rendezvous_order(ServerRole::cache, key)) {
        if (!is_usable(*cache) || !is_admitted(*cache, open, work, now))
            continue;
        if (cache->attempts_in_flight >= capacity_.request_limit(*cache, CapacityEstimator::kFull))
            continue;
        const double crowded_at = capacity_.request_limit(*cache, CapacityEstimator::kCrowded);
        if (was_tried(open, *cache))
            tried = tried ? tried : cache;
        else if (cache->attempts_in_flight >= crowded_at)
            crowded = crowded ? crowded : cache;
        else
            return cache;
    }
    return crowded ? crowded : tried;
}

TargetSelector::Parents TargetSelector::select_parents(const OpenRequest& open, double work,
                                                       double origin_latency, Time now) const {
    Parents found;
    const double max_latency = std::max(kBusyLatency, origin_latency);
    const auto key = static_cast<std::uint64_t>(open.request.object);
    bool is_first = true;  // of the parents in use, as far as the loop has come
    for (const auto& [cost, parent] : servers_.in_rendezvous_order(ServerRole::parent, key)) {
        const bool admitted =
            is_usable(*parent) && !was_tried(open, *parent) && is_admitted(*parent, open, work, now) &&
            fills_.expected_at(*parent, now) < capacity_.request_limit(*parent, CapacityEstimator::kFull);
        if (admitted && (is_first || parent->relative_latency <= max_latency)) {
            found.preferred = parent;
            return found;
        }
        if (admitted && !found.slow)
            found.slow = parent;
        is_first = is_first && is_usable(*parent) && !parent->ejected;
    }
    return found;
}

ServerState* TargetSelector::select_source(const OpenRequest& open, double work, Time now) const {
    ServerState* origin = select_origin();
    if (class_of(open).uncached)
        return origin;
    const Parents parents = select_parents(open, work, origin ? origin->relative_latency : 0, now);
    if (parents.preferred)
        return parents.preferred;
    if (!origin || capacity_.origin_admits(fills_.origin_fetches(), now))
        return origin;
    return parents.slow;
}

ServerState* TargetSelector::select_origin() const {
    const auto& origins = servers_.listed(ServerRole::origin);
    const auto usable =
        std::ranges::find_if(origins, [](const ServerState* server) { return is_usable(*server); });
    return usable == origins.end() ? nullptr : *usable;
}

}  // namespace silverrail::routing

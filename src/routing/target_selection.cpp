#include "routing/target_selection.h"

#include <algorithm>

#include "routing/hashing.h"

namespace silverrail::routing {

namespace {

// In latency objectives: a slower parent gets no fills of other parents' objects.
constexpr double kMaxLatencyForExtraFills = 0.5;

bool was_tried(const OpenRequest& open, const ServerState& server) {
    return std::any_of(open.attempts.begin(), open.attempts.end(), [&](const Attempt& attempt) {
        return !attempt.first_miss && (attempt.target == server.id || attempt.source == server.id);
    });
}

// Spreads the segments of an object over the caches: a client requests them one after another, and otherwise
// the link of a single cache would carry all of them.
std::uint64_t cache_key(const Request& request, bool segmented) {
    const std::uint64_t segment = segmented ? mix_bits(request.segment + 1) : 0;
    return static_cast<std::uint64_t>(request.object) + segment;
}

}  // namespace

bool TargetSelector::is_admitted(ServerState& server, const OpenRequest& open, double work, Time now) const {
    return outliers_.admits(server, now) && slow_start_.admits(server, work, !open.request.redirected, now);
}

ServerState* TargetSelector::select_cache(const OpenRequest& open, double work, Time now) const {
    ServerState* busy = nullptr;
    ServerState* tried = nullptr;
    const std::uint64_t key = cache_key(open.request, class_of(open).segmented);
    for (const auto& [cost, cache] : servers_.in_rendezvous_order(ServerRole::cache, key)) {
        if (!is_usable(*cache) || !is_admitted(*cache, open, work, now))
            continue;
        if (cache->attempts_in_flight >=
            capacity_.request_limit(*cache, CapacityEstimator::kMaxResponsesPerSlot))
            continue;
        const double busy_limit = capacity_.request_limit(*cache, CapacityEstimator::kBusyResponsesPerSlot);
        if (was_tried(open, *cache))
            tried = tried ? tried : cache;
        else if (cache->attempts_in_flight >= busy_limit)
            busy = busy ? busy : cache;
        else
            return cache;
    }
    return busy ? busy : tried;
}

TargetSelector::Parents TargetSelector::select_parents(const OpenRequest& open, double work,
                                                       double origin_latency, Time now) const {
    Parents found;
    const double max_latency = std::max(kMaxLatencyForExtraFills, origin_latency);
    const auto key = static_cast<std::uint64_t>(open.request.object);
    bool is_first = true;  // no earlier parent in this order is usable and not ejected
    for (const auto& [cost, parent] : servers_.in_rendezvous_order(ServerRole::parent, key)) {
        const bool admitted = is_usable(*parent) && !was_tried(open, *parent) &&
                              is_admitted(*parent, open, work, now) &&
                              fills_.expected_at(*parent, now) <
                                  capacity_.request_limit(*parent, CapacityEstimator::kMaxResponsesPerSlot);
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

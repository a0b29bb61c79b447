#include "routing/capacity_estimate.h"

#include <cmath>

#include "routing/durations.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr double kMinCacheRequests = 1;
constexpr double kMinParentRequests = 2;
constexpr double kAllowedDeviations = 2;  // standard deviations of random variation allowed above a share

// Fills per slot of the zone's link, where a slot is the part that one response uses at the maximum rate.
constexpr double kFillsPerSlot = 1.2;
constexpr double kSmallFillsPerSlot = 2;
constexpr double kMinFills = 1;
// Assumed capacity of the zone's link relative to its caches' links, if the settings do not give it.
constexpr double kAssumedLinkShare = 0.5;

// Limit on the concurrent fetches of all routers at the origin, in multiples of a zone link's capacity.
constexpr double kMinOriginLinks = 3;
constexpr double kOriginLinksPerZone = 0.75;
constexpr double kMinOriginFetches = 1;
constexpr Span kMaxOriginPause = 8s;

// Upper bound on a count whose mean is `share`, allowing for random variation (Poisson).
double with_random_variation(double share) {
    return share + kAllowedDeviations * std::sqrt(share);
}

}  // namespace

double CapacityEstimator::request_limit(const ServerState& server, double responses_per_slot) const {
    const int routers = server.role == ServerRole::parent ? settings_.routers : settings_.routers_in_zone;
    const double share = responses_per_slot * server.weight / std::max(1, routers);
    if (server.role != ServerRole::cache)
        return std::max(kMinParentRequests, share);
    return std::max(kMinCacheRequests, cache_factor_.value() * with_random_variation(share));
}

double CapacityEstimator::link_capacity() const {
    if (settings_.zone_link_kb_per_s > 0 && settings_.max_response_kb_per_s > 0)
        return settings_.zone_link_kb_per_s / settings_.max_response_kb_per_s;
    double capacity = 0;
    for (const ServerState* cache : servers_.listed(ServerRole::cache))
        capacity += cache->weight * kAssumedLinkShare;
    return capacity;
}

double CapacityEstimator::fill_limit(double work, double mean_work) const {
    const double fills_per_slot = work < mean_work ? kSmallFillsPerSlot : kFillsPerSlot;
    const double share = fills_per_slot * link_capacity() / std::max(1, settings_.routers_in_zone);
    return std::max(kMinFills, with_random_variation(share) * fill_factor_.value());
}

double CapacityEstimator::origin_share() const {
    const double zones = static_cast<double>(settings_.routers) / std::max(1, settings_.routers_in_zone);
    const double links = std::max(kMinOriginLinks, kOriginLinksPerZone * zones);
    return links * link_capacity() * origin_factor_.value() / std::max(1, settings_.routers);
}

bool CapacityEstimator::origin_admits(double fetches_in_flight, Time now) const {
    return now >= origin_paused_until_ && fetches_in_flight < std::max(kMinOriginFetches, origin_share());
}

void CapacityEstimator::pause_origin_after(Span fetch_time, Time now) {
    const double pauses_per_fetch = 1 / origin_share() - 1;
    if (pauses_per_fetch <= 0)
        return;
    // Randomised so that the routers do not synchronise.
    const double pause = to_seconds(fetch_time) * pauses_per_fetch * (0.5 + random_.next());
    origin_paused_until_ = now + std::min(kMaxOriginPause, to_span(pause));
}

void CapacityEstimator::record_cache_lookup(bool hit) {
    update_mean(miss_share_, hit ? 0 : 1);
}

}  // namespace silverrail::routing

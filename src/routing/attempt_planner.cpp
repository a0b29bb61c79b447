#include "routing/attempt_planner.h"

#include <algorithm>

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kMinUsefulTime = 20ms;  // with less time before the deadline, a retry cannot succeed
// After this many unresponsive caches the whole zone may be down, so the next attempt bypasses its caches.
constexpr int kUnresponsiveCachesBeforeBypass = 2;

RetentionPriority retention_of(Popularity popularity) {
    switch (popularity) {
        case Popularity::hot:
            return RetentionPriority::highest;
        case Popularity::tracked:
            return RetentionPriority::lowest;
        case Popularity::untracked:
            break;
    }
    return RetentionPriority::no_store;
}

}  // namespace

std::optional<AttemptPlan> AttemptPlanner::plan(const OpenRequest& open, Time now) const {
    const bool too_late = open.request.deadline <= now + kMinUsefulTime;
    if (too_late && !open.attempts.empty())
        return std::nullopt;
    return class_of(open).uncached ? plan_uncached(open, now) : plan_cached(open, now);
}

// A request of an uncached class runs at the origin: sent to it directly, or through any cache with the
// origin as the source.
std::optional<AttemptPlan> AttemptPlanner::plan_uncached(const OpenRequest& open, Time now) const {
    ServerState* origin = deps_.targets.select_origin();
    if (!origin)
        return std::nullopt;
    if (deps_.settings.cache_bypass_supported && deps_.retries.may_send(open, *origin, now))
        return AttemptPlan{.target = origin};
    const double work = deps_.work.of_class(open.request.class_index);
    ServerState* cache = deps_.targets.select_cache(open, work, now);
    if (!cache || !deps_.retries.may_send(open, *cache, now))
        return std::nullopt;
    return AttemptPlan{.target = cache, .fill = Fill{.source = origin->id}, .source = origin};
}

std::optional<AttemptPlan> AttemptPlanner::plan_cached(const OpenRequest& open, Time now) const {
    const double work = deps_.work.of_class(open.request.class_index);
    const bool skip_caches =
        deps_.settings.cache_bypass_supported && open.unresponsive_caches >= kUnresponsiveCachesBeforeBypass;
    ServerState* cache = skip_caches ? nullptr : deps_.targets.select_cache(open, work, now);
    ServerState* source = deps_.targets.select_source(open, work, now);
    const double request_work = deps_.work.of_request(open.request);
    const bool link_is_full =
        deps_.fills.expected(now) >= deps_.capacity.fill_limit(request_work, deps_.work.mean());
    if (cache)
        return plan_through_cache(open, *cache, link_is_full ? nullptr : source, now);
    if (link_is_full || !deps_.settings.cache_bypass_supported)
        return std::nullopt;
    return plan_cache_bypass(open, source, now);
}

// Without a source (none is suitable, or the link is full) the cache may only serve a copy that it holds.
// Hits still succeed, and the fills in progress can finish.
std::optional<AttemptPlan> AttemptPlanner::plan_through_cache(const OpenRequest& open, ServerState& cache,
                                                              ServerState* source, Time now) const {
    if (!deps_.retries.may_send(open, cache, now))
        return std::nullopt;
    if (!source && open.cache_missed)
        return std::nullopt;
    if (open.parent_missed) {
        const double request_work = deps_.work.of_request(open.request);
        const double limit = deps_.capacity.fill_limit(request_work, deps_.work.mean());
        if (deps_.fills.origin_fetches() >= limit * deps_.capacity.origin_factor().value())
            return std::nullopt;
    }
    return AttemptPlan{.target = &cache, .fill = make_fill(open, cache, source, now), .source = source};
}

// No cache of the zone can take the request (all are down, in slow start or full): it is sent directly to a
// parent, which fetches objects that it does not hold from the origin, or to the origin.
std::optional<AttemptPlan> AttemptPlanner::plan_cache_bypass(const OpenRequest& open, ServerState* source,
                                                             Time now) const {
    if (!source || !deps_.retries.may_send(open, *source, now))
        return std::nullopt;
    if (source->role == ServerRole::origin)
        return AttemptPlan{.target = source};
    const ServerState* origin = deps_.targets.select_origin();
    const ServerId& fill_source = origin ? origin->id : source->id;
    return AttemptPlan{.target = source, .fill = Fill{.source = fill_source, .max_age = max_age(open, now)}};
}

Fill AttemptPlanner::make_fill(const OpenRequest& open, const ServerState& cache, const ServerState* source,
                               Time now) const {
    Fill fill{.source = source ? source->id : cache.id, .max_age = max_age(open, now)};
    fill.retention = retention_of(open.popularity);
    // A fill in progress may carry a copy that left the origin before the purge.
    fill.coalesce = deps_.settings.coalescing_supported && !deps_.purges.max_age(open.request, now);
    if (source) {
        fill.only_if_cached = source->role == ServerRole::parent && asks_parent_for_copy_only(open);
        fill.revalidate = class_of(open).max_age > Span{} && open.popularity != Popularity::untracked;
    }
    return fill;
}

// The more the fills that involve the origin fail or are late, the larger the share of requests that ask the
// parent for a cached copy only. Misses at the parent are then subject to the origin's limit.
bool AttemptPlanner::asks_parent_for_copy_only(const OpenRequest& open) const {
    const double factor = deps_.capacity.origin_factor().value();
    const auto id = static_cast<std::uint64_t>(open.request.id);
    return !open.parent_missed && deps_.random.fraction_of(id) > factor * factor;
}

// Maximum acceptable age of a copy; 0: the class's max_age.
Span AttemptPlanner::max_age(const OpenRequest& open, Time now) const {
    const ClassSettings& request_class = class_of(open);
    Span age{};
    // The first attempt asks for a fresh copy (stale-while-revalidate); after a failure a stale one is
    // accepted.
    const bool stale_is_better_than_late = request_class.stale_weight > request_class.late_weight;
    if (request_class.max_age > Span{} && !open.attempts.empty() && stale_is_better_than_late)
        age = request_class.max_age + request_class.stale_grace;
    if (const auto purge_bound = deps_.purges.max_age(open.request, now)) {
        const Span limit = age > Span{} ? age : request_class.max_age;
        age = limit > Span{} ? std::min(limit, *purge_bound) : *purge_bound;
    }
    return age;
}

}  // namespace silverrail::routing

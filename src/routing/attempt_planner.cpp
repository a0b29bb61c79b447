#include "routing/attempt_planner.h"

#include <algorithm>

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kMinUsefulTime = 20ms;  // less before the deadline is no chance for a further attempt
constexpr int kSilentCachesOfLostZone = 2;

RetentionPriority retention_of(Popularity popularity) {
    switch (popularity) {
        case Popularity::hot:
            return RetentionPriority::highest;
        case Popularity::tracked:
            return RetentionPriority::lowest;
        case Popularity::newcomer:
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

// A write runs at the origin: straight, or with the origin as the source behind any cache.
std::optional<AttemptPlan> AttemptPlanner::plan_uncached(const OpenRequest& open, Time now) const {
    ServerState* origin = d_.targets.select_origin();
    if (!origin)
        return std::nullopt;
    if (d_.settings.cache_bypass_supported && d_.retries.may_send(open, *origin, now))
        return AttemptPlan{.target = origin};
    const double work = d_.work.of_class(open.request.class_index);
    ServerState* cache = d_.targets.select_cache(open, work, now);
    if (!cache || !d_.retries.may_send(open, *cache, now))
        return std::nullopt;
    return AttemptPlan{.target = cache, .fill = Fill{.source = origin->id}, .source = origin};
}

std::optional<AttemptPlan> AttemptPlanner::plan_cached(const OpenRequest& open, Time now) const {
    const double work = d_.work.of_class(open.request.class_index);
    // Several silent caches in a row may be a lost zone; an attempt past them tells.
    const bool skip_caches =
        d_.settings.cache_bypass_supported && open.silent_caches >= kSilentCachesOfLostZone;
    ServerState* cache = skip_caches ? nullptr : d_.targets.select_cache(open, work, now);
    ServerState* source = d_.targets.select_source(open, work, now);
    const double request_work = d_.work.of_request(open.request);
    const bool link_is_full = d_.fills.expected(now) >= d_.capacity.fill_limit(request_work, d_.work.mean());
    if (cache)
        return plan_through_cache(open, *cache, link_is_full ? nullptr : source, now);
    if (link_is_full || !d_.settings.cache_bypass_supported)
        return std::nullopt;
    return plan_past_caches(open, source, now);
}

// Without a source - none will do, or the link is full - the cache is asked for what it holds: hits go on,
// and the fills that are under way come to their end.
std::optional<AttemptPlan> AttemptPlanner::plan_through_cache(const OpenRequest& open, ServerState& cache,
                                                              ServerState* source, Time now) const {
    if (!d_.retries.may_send(open, cache, now))
        return std::nullopt;
    if (!source && open.cache_missed)
        return std::nullopt;
    if (open.parent_missed) {
        const double request_work = d_.work.of_request(open.request);
        const double limit = d_.capacity.fill_limit(request_work, d_.work.mean());
        if (d_.fills.origin_fetches() >= limit * d_.capacity.origin_factor().value())
            return std::nullopt;
    }
    return AttemptPlan{.target = &cache, .fill = fill_through(open, cache, source, now), .source = source};
}

// No cache of the zone will do - lost, cold, full: straight to the parent, which fetches what it lacks, or to
// the origin.
std::optional<AttemptPlan> AttemptPlanner::plan_past_caches(const OpenRequest& open, ServerState* source,
                                                            Time now) const {
    if (!source || !d_.retries.may_send(open, *source, now))
        return std::nullopt;
    if (source->role == ServerRole::origin)
        return AttemptPlan{.target = source};
    const ServerState* origin = d_.targets.select_origin();
    const ServerId& fill_source = origin ? origin->id : source->id;
    return AttemptPlan{.target = source, .fill = Fill{.source = fill_source, .max_age = max_age(open, now)}};
}

Fill AttemptPlanner::fill_through(const OpenRequest& open, const ServerState& cache,
                                  const ServerState* source, Time now) const {
    Fill fill{.source = source ? source->id : cache.id, .max_age = max_age(open, now)};
    fill.retention = retention_of(open.popularity);
    // A fill under way may have left the origin before the purge.
    fill.coalesce = d_.settings.coalescing_supported && !d_.purges.max_age(open.request, now);
    if (source) {
        fill.only_if_cached = source->role == ServerRole::parent && asks_parent_for_copy_only(open);
        fill.revalidate = class_of(open).max_age > Span{} && open.popularity != Popularity::newcomer;
    }
    return fill;
}

// As fills that the origin has a part in fail or are late, more and more of them first ask the parent for
// what it holds, and those that it lacks keep to the origin's limit.
bool AttemptPlanner::asks_parent_for_copy_only(const OpenRequest& open) const {
    const double factor = d_.capacity.origin_factor().value();
    const auto id = static_cast<std::uint64_t>(open.request.id);
    return !open.parent_missed && d_.random.fraction_of(id) > factor * factor;
}

// The oldest copy that will do; 0: the class's max_age.
Span AttemptPlanner::max_age(const OpenRequest& open, Time now) const {
    const ClassSettings& request_class = class_of(open);
    Span age{};
    // The first attempt asks for a fresh copy (stale-while-revalidate); after a failure a stale one will do.
    const bool stale_is_better_than_late = request_class.stale_weight > request_class.late_weight;
    if (request_class.max_age > Span{} && !open.attempts.empty() && stale_is_better_than_late)
        age = request_class.max_age + request_class.stale_grace;
    if (const auto purge_bound = d_.purges.max_age(open.request, now)) {
        const Span limit = age > Span{} ? age : request_class.max_age;
        age = limit > Span{} ? std::min(limit, *purge_bound) : *purge_bound;
    }
    return age;
}

}  // namespace silverrail::routing

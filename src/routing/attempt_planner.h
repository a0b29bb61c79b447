// Plans the next attempt of a request: its target, fill and source. If there is no useful attempt, the
// request is given up.
#pragma once

#include <optional>

#include "routing/capacity_estimate.h"
#include "routing/fills_in_flight.h"
#include "routing/open_request.h"
#include "routing/purge_history.h"
#include "routing/random.h"
#include "routing/retry_policy.h"
#include "routing/target_selection.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

struct AttemptPlan {
    ServerState* target = nullptr;
    std::optional<Fill> fill{};     // absent: a read or write without a fill
    ServerState* source = nullptr;  // server that the fill is counted against; null: none
};

class AttemptPlanner {
public:
    // All must outlive the planner.
    struct Dependencies {
        const Settings& settings;
        const TargetSelector& targets;
        const RetryPolicy& retries;
        const PurgeHistory& purges;
        const CapacityEstimator& capacity;
        const FillsInFlight& fills;
        const WorkEstimator& work;
        const Random& random;
    };
    explicit AttemptPlanner(const Dependencies& dependencies) : deps_(dependencies) {}

    // Absent if no attempt is permitted or useful.
    std::optional<AttemptPlan> plan(const OpenRequest& open, Time now) const;

private:
    std::optional<AttemptPlan> plan_uncached(const OpenRequest& open, Time now) const;
    std::optional<AttemptPlan> plan_cached(const OpenRequest& open, Time now) const;
    std::optional<AttemptPlan> plan_through_cache(const OpenRequest& open, ServerState& cache,
                                                  ServerState* source, Time now) const;
    std::optional<AttemptPlan> plan_cache_bypass(const OpenRequest& open, ServerState* source,
                                                 Time now) const;
    Fill make_fill(const OpenRequest& open, const ServerState& cache, const ServerState* source,
                   Time now) const;
    Span max_age(const OpenRequest& open, Time now) const;
    bool asks_parent_for_copy_only(const OpenRequest& open) const;
    const ClassSettings& class_of(const OpenRequest& open) const {
        return deps_.settings.classes[open.request.class_index];
    }

    Dependencies deps_;
};

}  // namespace silverrail::routing

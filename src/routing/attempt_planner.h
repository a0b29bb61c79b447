// Plans a request's next attempt: target, fill and source, or none where the request is to be given up.
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
    std::optional<Fill> fill{};     // absent: a plain read or write
    ServerState* source = nullptr;  // that the fill is counted at; null: none
};

class AttemptPlanner {
public:
    // What the planner asks; all must outlive it.
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
    explicit AttemptPlanner(const Dependencies& dependencies) : d_(dependencies) {}

    // Absent: nothing can be sent that would help.
    std::optional<AttemptPlan> plan(const OpenRequest& open, Time now) const;

private:
    std::optional<AttemptPlan> plan_uncached(const OpenRequest& open, Time now) const;
    std::optional<AttemptPlan> plan_cached(const OpenRequest& open, Time now) const;
    std::optional<AttemptPlan> plan_through_cache(const OpenRequest& open, ServerState& cache,
                                                  ServerState* source, Time now) const;
    std::optional<AttemptPlan> plan_past_caches(const OpenRequest& open, ServerState* source, Time now) const;
    Fill fill_through(const OpenRequest& open, const ServerState& cache, const ServerState* source,
                      Time now) const;
    Span max_age(const OpenRequest& open, Time now) const;
    bool asks_parent_for_copy_only(const OpenRequest& open) const;
    const ClassSettings& class_of(const OpenRequest& open) const {
        return d_.settings.classes[open.request.class_index];
    }

    Dependencies d_;
};

}  // namespace silverrail::routing

// Updates what is known of the target, the source, the origin and the capacities from the outcome of an
// attempt.
#pragma once

#include "routing/capacity_estimate.h"
#include "routing/hang_detection.h"
#include "routing/open_request.h"
#include "routing/outlier_detection.h"
#include "routing/server_table.h"
#include "routing/slow_start.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

class OutcomeLearner {
public:
    // All must outlive the learner.
    struct Dependencies {
        const Settings& settings;
        ServerTable& servers;
        OutlierDetector& outliers;
        const HangDetector& hangs;
        WorkEstimator& work;
        CapacityEstimator& capacity;
    };
    explicit OutcomeLearner(const Dependencies& dependencies) : deps_(dependencies) {}

    // Removes the attempt from its servers' counts and evaluates its outcome.
    void record(const OpenRequest& open, Attempt& attempt, const Outcome& outcome, Time now);

private:
    // The attempt's servers; null if no longer known, or replaced by other processes.
    struct Servers {
        ServerState* target = nullptr;
        ServerState* source = nullptr;
    };
    struct Findings {
        bool succeeded = false;
        bool hit = false;
        bool filled = false;
        bool failed = false;                  // in a way that may indicate overload
        bool in_time = false;                 // within the latency objective
        bool timed_out_or_cancelled = false;  // timed out or was cancelled
        double relative_latency = 0;
    };
    void remove_from_counts(const Attempt& attempt);
    Findings evaluate(const OpenRequest& open, const Outcome& outcome) const;
    void learn_latency(const Servers& servers, const Attempt& attempt, const Findings& findings);
    void learn_about_source(ServerState& source, const Attempt& attempt, const Outcome& outcome,
                            const Findings& findings, Time now);
    void learn_capacity(const Attempt& attempt, const Outcome& outcome, const Findings& findings);
    bool involved_origin(const Attempt& attempt, const Outcome& outcome) const;

    Dependencies deps_;
};

}  // namespace silverrail::routing

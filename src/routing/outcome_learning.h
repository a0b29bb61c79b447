// What the end of an attempt says of its target, of the source behind it, of the origin and of the
// capacities.
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
    // What the learner reads and updates; all must outlive it.
    struct Dependencies {
        const Settings& settings;
        ServerTable& servers;
        OutlierDetector& outliers;
        const HangDetector& hangs;
        WorkEstimator& work;
        CapacityEstimator& capacity;
    };
    explicit OutcomeLearner(const Dependencies& dependencies) : d_(dependencies) {}

    // Takes the attempt off its servers and learns from its outcome.
    void record(const OpenRequest& open, Attempt& attempt, const Outcome& outcome, Time now);

private:
    // The servers of the attempt that are still known.
    struct Servers {
        ServerState* target = nullptr;
        ServerState* source = nullptr;
    };
    struct Findings {
        bool succeeded = false;
        bool hit = false;
        bool filled = false;
        bool failed = false;   // in a way that says something of the capacities
        bool in_time = false;  // within the latency objective
        bool gave_up = false;  // timed out or cancelled
        double relative_latency = 0;
    };
    Findings examine(const OpenRequest& open, const Outcome& outcome) const;
    void learn_latency(const Servers& servers, const Attempt& attempt, const Findings& findings);
    void learn_of_source(ServerState& source, const Attempt& attempt, const Outcome& outcome,
                         const Findings& findings, Time now);
    void learn_capacity(const Attempt& attempt, const Outcome& outcome, const Findings& findings);
    bool involved_origin(const Attempt& attempt, const Outcome& outcome) const;

    Dependencies d_;
};

}  // namespace silverrail::routing

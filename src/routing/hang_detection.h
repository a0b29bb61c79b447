// Attempts that hang: a server that answers other requests may leave a single one without an answer.
#pragma once

#include "routing/open_request.h"
#include "routing/server_table.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

class HangDetector {
public:
    // Waiting times in latency objectives.
    static constexpr double kHungAfter = 0.7;      // a request without a fill
    static constexpr double kHungFillAfter = 1.2;  // a fill may be slow by itself

    // Both must outlive the detector.
    HangDetector(const ServerTable& servers, const WorkEstimator& work) : servers_(servers), work_(work) {}

    // How long the attempt has been in flight, in latency objectives of its request.
    double waited(const OpenRequest& open, const Attempt& attempt, Time now) const;

    // Has its target answered others since, and does it take far longer than target and source usually do?
    bool is_hung(const OpenRequest& open, const Attempt& attempt, Time now) const;

private:
    const ServerTable& servers_;
    const WorkEstimator& work_;
};

}  // namespace silverrail::routing

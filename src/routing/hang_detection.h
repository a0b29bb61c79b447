// Detects hung attempts: a server may leave a single request without a response while it responds to others.
#pragma once

#include "routing/open_request.h"
#include "routing/server_table.h"
#include "routing/work_estimate.h"

namespace silverrail::routing {

class HangDetector {
public:
    // Waiting times in multiples of the latency objective.
    static constexpr double kHungAfter = 0.7;      // an attempt without a fill
    static constexpr double kHungFillAfter = 1.2;  // a fill may be slow without being hung

    // Both must outlive the detector.
    HangDetector(const ServerTable& servers, const WorkEstimator& work) : servers_(servers), work_(work) {}

    // Time that the attempt has been in flight, in multiples of its request's latency objective.
    double relative_wait(const OpenRequest& open, const Attempt& attempt, Time now) const;

    // True if the target has responded to other requests since the attempt was sent and the attempt takes
    // far longer than usual for its target and source.
    bool is_hung(const OpenRequest& open, const Attempt& attempt, Time now) const;

private:
    const ServerTable& servers_;
    const WorkEstimator& work_;
};

}  // namespace silverrail::routing

// Counts this router's fills and fetches at the origin that are under way.
#pragma once

#include "routing/capacity_estimate.h"
#include "routing/hang_detection.h"
#include "routing/open_request.h"

namespace silverrail::routing {

class FillsInFlight {
public:
    // All must outlive it.
    FillsInFlight(const Settings& settings, const OpenRequests& requests, const HangDetector& hangs,
                  const WorkEstimator& work, const CapacityEstimator& capacity)
        : settings_(settings), requests_(requests), hangs_(hangs), work_(work), capacity_(capacity) {}

    // Expected number of fills. An attempt that may be a hit counts by the usual share of misses until it has
    // been in flight for longer than a hit takes.
    double expected(Time now) const;

    // The same for those that one server takes part in, as target or source.
    double expected_at(const ServerState& server, Time now) const;

    // Attempts that are certain to be the origin's work; those of classes that are not cached don't count.
    double origin_fetches() const;

private:
    double probability_of_fill(const OpenRequest& open, const Attempt& attempt, Time now) const;

    const Settings& settings_;
    const OpenRequests& requests_;
    const HangDetector& hangs_;
    const WorkEstimator& work_;
    const CapacityEstimator& capacity_;
};

}  // namespace silverrail::routing

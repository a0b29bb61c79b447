// Counts this router's fills and origin fetches that are in flight.
#pragma once

#include "routing/capacity_estimate.h"
#include "routing/hang_detection.h"
#include "routing/open_request.h"

namespace silverrail::routing {

class FillsInFlight {
public:
    // All must outlive the object.
    FillsInFlight(const Settings& settings, const OpenRequests& requests, const HangDetector& hangs,
                  const WorkEstimator& work, const CapacityEstimator& capacity)
        : settings_(settings), requests_(requests), hangs_(hangs), work_(work), capacity_(capacity) {}

    // Expected number of fills. An attempt that may still be a hit counts as the current miss ratio until
    // it has been in flight for longer than a hit takes.
    double expected(Time now) const;

    // As expected(), but only the fills that involve the server as target or source.
    double expected_at(const ServerState& server, Time now) const;

    // Attempts that are known to be handled by the origin, except those of uncached classes.
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

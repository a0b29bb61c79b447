// Estimates how many concurrent requests of this router the servers, the zone's link and the origin can
// handle: the router's share according to the settings, multiplied by factors that adapt to whether
// responses arrive within their latency objective.
#pragma once

#include <algorithm>

#include "routing/random.h"
#include "routing/server_table.h"

namespace silverrail::routing {

// A factor of at most 1, adjusted by additive increase and multiplicative decrease (AIMD).
class AimdFactor {
public:
    explicit AimdFactor(double increase) : increase_(increase) {}

    void record(bool in_time) {
        value_ = in_time ? std::min(1.0, value_ + increase_) : std::max(kMinValue, value_ * kDecrease);
    }
    double value() const {
        return value_;
    }

private:
    static constexpr double kDecrease = 0.8;
    static constexpr double kMinValue = 0.2;

    double increase_;
    double value_ = 1;
};

class CapacityEstimator {
public:
    // Concurrent responses per slot. A slot is the part of a server's link that one response uses at the
    // maximum rate.
    static constexpr double kBusyResponsesPerSlot = 1.5;  // above it, another server is preferred
    static constexpr double kMaxResponsesPerSlot = 2.5;   // no further requests are sent

    // All must outlive the estimator.
    CapacityEstimator(const Settings& settings, const ServerTable& servers, Random& random)
        : settings_(settings), servers_(servers), random_(random) {}

    // Maximum number of concurrent requests of this router at a server, for a number of responses per slot.
    double request_limit(const ServerState& server, double responses_per_slot) const;

    // Maximum number of concurrent fills of this router on the zone's link. `work` is that of the fill to
    // be added, `mean_work` the mean over all cacheable requests.
    double fill_limit(double work, double mean_work) const;

    // True if this router may start another fetch at the origin, given the number of its fetches in flight.
    bool origin_admits(double fetches_in_flight, Time now) const;

    // Called when a fetch at the origin has ended. If this router's share is less than one concurrent
    // fetch, it may use the origin only part of the time: a pause follows that is proportional to the
    // duration of the fetch.
    void pause_origin_after(Span fetch_time, Time now);

    AimdFactor& cache_factor() {
        return cache_factor_;
    }
    AimdFactor& fill_factor() {
        return fill_factor_;
    }
    AimdFactor& origin_factor() {
        return origin_factor_;
    }
    const AimdFactor& fill_factor() const {
        return fill_factor_;
    }
    const AimdFactor& origin_factor() const {
        return origin_factor_;
    }

    // Share of requests to edge caches that miss.
    double miss_share() const {
        return miss_share_;
    }
    void record_cache_lookup(bool hit);

private:
    static constexpr double kHitIncrease = 0.01;   // tolerates a twentieth of all hits being late
    static constexpr double kFillIncrease = 0.05;  // tolerates a fifth of all fills being late

    double link_capacity() const;
    double origin_share() const;

    const Settings& settings_;
    const ServerTable& servers_;
    Random& random_;
    AimdFactor cache_factor_{kHitIncrease};
    AimdFactor fill_factor_{kFillIncrease};
    AimdFactor origin_factor_{kFillIncrease};
    double miss_share_ = 0.5;
    Time origin_paused_until_{};
};

}  // namespace silverrail::routing

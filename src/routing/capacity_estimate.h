// How many requests servers, the zone's link and the origin bear from this router at once: its share by the
// settings, times factors that follow from whether answers come in time.
#pragma once

#include <algorithm>

#include "routing/random.h"
#include "routing/server_table.h"

namespace silverrail::routing {

// A factor of at most 1, with additive increase and multiplicative decrease (AIMD).
class AimdFactor {
public:
    explicit AimdFactor(double increase) : increase_(increase) {}

    void record(bool in_time) {
        value_ = in_time ? std::min(1.0, value_ + increase_) : std::max(kLeast, value_ * kDecrease);
    }
    double value() const {
        return value_;
    }

private:
    static constexpr double kDecrease = 0.8;
    static constexpr double kLeast = 0.2;

    double increase_;
    double value_ = 1;
};

class CapacityEstimator {
public:
    // How many answers share one slot of a server's link.
    static constexpr double kCrowded = 1.5;  // another server is preferred
    static constexpr double kFull = 2.5;     // nothing more is sent

    // All must outlive the estimator.
    CapacityEstimator(const Settings& settings, const ServerTable& servers, Random& random)
        : settings_(settings), servers_(servers), random_(random) {}

    // Requests of this router that a server bears at once, at so many answers a slot.
    double request_limit(const ServerState& server, double answers_per_slot) const;

    // Fills of this router that the zone's link bears at once. `work`: of the one that is to join them;
    // `mean_work`: of all.
    double fill_limit(double work, double mean_work) const;

    // May this router begin one more fetch at the origin, with so many in flight?
    bool origin_admits(double fetches_in_flight, Time now) const;

    // A fetch at the origin has ended. A share of less than one fetch is a share of the time: a pause
    // follows, in proportion to the time taken.
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

    // The share of requests to edge caches that are misses.
    double miss_share() const {
        return miss_share_;
    }
    void record_cache_lookup(bool hit);

private:
    static constexpr double kHitIncrease = 0.01;   // a twentieth of all hits may be late
    static constexpr double kFillIncrease = 0.05;  // a fifth of all fills may be late

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

// A rate limit by the generic cell rate algorithm (ITU-T I.371), with a sustained rate and a burst. The state
// of a client is a single time, the theoretical arrival time (TAT) of its next request: the time up to which
// the requests admitted so far use up the sustained rate.
#pragma once

#include <cstdint>

#include "silverrail/routing/router.h"

namespace silverrail::limits {

using routing::Span;
using routing::Time;

struct RateDecision {
    bool admitted = false;
    // Not admitted: the exact time after which a request is admitted, if none is admitted before.
    Span retry_after{};
};

class Gcra {
public:
    static constexpr double kMaxPerSecond = 1e6;
    static constexpr std::uint32_t kMaxBurst = 1'000'000;
    // A longer wait is of no use to clients. The bound also rules out overflow in the arithmetic.
    static constexpr Span kMaxInterval = std::chrono::hours{1};

    // `per_second`: from 1 per hour to kMaxPerSecond. `burst`: from 1 to kMaxBurst. Throws
    // std::invalid_argument for other values. The interval is rounded up to a whole nanosecond, so the rate
    // is never exceeded.
    Gcra(double per_second, std::uint32_t burst);

    // `arrival_time`: the client's state, initially Time::min(). Changed only if the request is admitted.
    RateDecision request(Time& arrival_time, Time now) const;
    Span interval() const {
        return interval_;
    }
    Span tolerance() const {
        return tolerance_;
    }

private:
    Span interval_;
    Span tolerance_;  // how far ahead of `now` the TAT of an admitted request may be
};

}  // namespace silverrail::limits

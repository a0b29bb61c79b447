// A rate limit by the generic cell rate algorithm (ITU-T I.371): so many requests a second, with a burst on
// top. A client's whole state is one time: when all that was admitted is paid for at the limit's rate.
#pragma once

#include <cstdint>

#include "silverrail/routing/router.h"

namespace silverrail::limits {

using routing::Span;
using routing::Time;

struct RateDecision {
    bool admitted = false;
    // Not admitted: after exactly this, and no earlier, a request is admitted if none is made meanwhile.
    Span retry_after{};
};

class Gcra {
public:
    static constexpr double kMaxPerSecond = 1e6;
    static constexpr std::uint32_t kMaxBurst = 1'000'000;
    // A longer wait is of no use to any client, and the arithmetic stays far from its bounds.
    static constexpr Span kMaxInterval = std::chrono::hours{1};

    // `per_second` from one an hour to kMaxPerSecond, `burst` from 1 to kMaxBurst; else throws
    // std::invalid_argument. The interval is rounded up to a nanosecond, so the rate is never exceeded.
    Gcra(double per_second, std::uint32_t burst);

    // `paid_until` is the client's state, Time::min() at first. It
    // is changed only when a request is admitted.
    RateDecision request(Time& paid_until, Time now) const;
    Span interval() const {
        return interval_;
    }
    Span tolerance() const {
        return tolerance_;
    }

private:
    Span interval_;
    Span tolerance_;  // how far ahead of `now` the state may be for a request to be admitted
};

}  // namespace silverrail::limits

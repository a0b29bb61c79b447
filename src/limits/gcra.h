// A rate limit by the generic cell rate algorithm (ITU-T I.371): so many a second, with a burst on top. What
// it remembers of one who asks is a single time, at which all that was let through will have been paid for.
#pragma once

#include <cstdint>

#include "silverrail/routing/router.h"

namespace silverrail::limits {

using routing::Span;
using routing::Time;

struct Verdict {
    bool admitted = false;
    Span hold_off{};  // refused: asked again after that, and nothing else meanwhile, it is admitted; never
                      // before
};

class Gcra {
public:
    static constexpr double kMostPerSecond = 1e6;
    static constexpr std::uint32_t kMostBurst = 1'000'000;
    // Above that a wait makes no sense to any client, and the arithmetic stays far from its bounds.
    static constexpr Span kLongestInterval = std::chrono::hours{1};

    // `per_second` from one an hour to kMostPerSecond, `burst` from 1 to kMostBurst; else throws
    // std::invalid_argument. The interval is rounded up to a nanosecond: never more than the rate.
    Gcra(double per_second, std::uint32_t burst);

    // `paid_until`: what is remembered; Time::min() of one who was never seen. Changed only where it is
    // admitted.
    Verdict take(Time& paid_until, Time now) const;
    Span interval() const {
        return interval_;
    }
    Span tolerance() const {
        return tolerance_;
    }

private:
    Span interval_;
    Span tolerance_;  // so far ahead one may be and still be admitted
};

}  // namespace silverrail::limits

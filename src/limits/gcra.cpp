#include "limits/gcra.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace silverrail::limits {

namespace {
constexpr double kNanosecondsPerSecond = 1e9;
}

Gcra::Gcra(double per_second, std::uint32_t burst) {
    const double max_interval_s = std::chrono::duration<double>(kMaxInterval).count();
    if (!(per_second >= 1 / max_interval_s && per_second <= kMaxPerSecond))
        throw std::invalid_argument("rate out of range: must be from 1 per hour to 1000000 per second");
    if (burst < 1 || burst > kMaxBurst)
        throw std::invalid_argument("burst out of range: must be from 1 to 1000000");
    interval_ = Span{static_cast<Span::rep>(std::ceil(kNanosecondsPerSecond / per_second))};
    tolerance_ = interval_ * (burst - 1);
}

RateDecision Gcra::request(Time& arrival_time, Time now) const {
    const Time from = std::max(arrival_time, now);
    if (from - now > tolerance_)
        return {.admitted = false, .retry_after = from - now - tolerance_};
    arrival_time = from + interval_;
    return {.admitted = true, .retry_after = {}};
}

}  // namespace silverrail::limits

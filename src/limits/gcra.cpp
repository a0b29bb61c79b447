#include "limits/gcra.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace silverrail::limits {

Gcra::Gcra(double per_second, std::uint32_t burst) {
    const double longest = std::chrono::duration<double>(kLongestInterval).count();
    if (!(per_second >= 1 / longest && per_second <= kMostPerSecond))
        throw std::invalid_argument("a rate from one an hour to 1000000 a second");
    if (burst < 1 || burst > kMostBurst)
        throw std::invalid_argument("a burst from 1 to 1000000");
    interval_ = Span{static_cast<Span::rep>(std::ceil(1e9 / per_second))};
    tolerance_ = interval_ * (burst - 1);
}

Verdict Gcra::take(Time& paid_until, Time now) const {
    const Time from = std::max(paid_until, now);
    if (from - now > tolerance_)
        return {false, from - now - tolerance_};
    paid_until = from + interval_;
    return {true, Span{}};
}

}  // namespace silverrail::limits

// Exponential backoff with jitter, for reconnecting to services that many routers share. The delays are
// bounded and drawn from the router's own seed, so that routers that lose a service at the same time do not
// reconnect at the same time. The same seed gives the same delays.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace silverrail::net {

class Backoff {
public:
    using Ms = std::chrono::milliseconds;
    Backoff(Ms first, Ms max, std::uint64_t seed) : first_(first), max_(max), random_(seed) {}
    // Returns the delay before the next reconnect: at most `first` for the first one, then between half and
    // all of an interval that doubles up to `max`.
    Ms next() {
        const Ms shortest = interval_ == Ms{} ? Ms{} : interval_ / 2;
        const Ms longest = interval_ == Ms{} ? first_ : interval_;
        interval_ = std::clamp(interval_ * 2, first_, max_);
        return Ms{std::uniform_int_distribution<Ms::rep>{shortest.count(), longest.count()}(random_)};
    }
    // Called after a success: the next delay is drawn like the first one again.
    void reset() {
        interval_ = {};
    }

private:
    Ms first_;
    Ms max_;
    Ms interval_{};
    std::mt19937_64 random_;
};

}  // namespace silverrail::net

// Exponential backoff with jitter, for reconnecting to services that many routers share: bounded, and drawn
// from the router's own seed, so that routers that lost a service together do not come back in step. The same
// seed draws the same delays.
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
    // The delay before the next attempt: up to `first` for the first one, then between half and all of a span
    // that doubles up to `max`.
    Ms next() {
        const Ms from = span_ == Ms{} ? Ms{} : span_ / 2;
        const Ms to = span_ == Ms{} ? first_ : span_;
        span_ = std::clamp(span_ * 2, first_, max_);
        return Ms{std::uniform_int_distribution<Ms::rep>{from.count(), to.count()}(random_)};
    }
    // After a success: the next delay is a first one again.
    void reset() {
        span_ = {};
    }

private:
    Ms first_;
    Ms max_;
    Ms span_{};
    std::mt19937_64 random_;
};

}  // namespace silverrail::net

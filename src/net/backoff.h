// Pauses between tries at what many routers share: growing, bounded, and drawn from the router's own seed, so
// that a hundred that lost the same service at once do not come back to it in step. The same seed draws the
// same.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace silverrail::net {

class Backoff {
public:
    using Ms = std::chrono::milliseconds;
    Backoff(Ms first, Ms longest, std::uint64_t seed) : first_(first), longest_(longest), random_(seed) {}
    // Up to `first` at the first try, then between half and all of a span that doubles up to `longest`.
    Ms next() {
        const Ms least = span_ == Ms{} ? Ms{} : span_ / 2;
        const Ms most = span_ == Ms{} ? first_ : span_;
        span_ = std::clamp(span_ * 2, first_, longest_);
        return Ms{std::uniform_int_distribution<Ms::rep>{least.count(), most.count()}(random_)};
    }
    void reset() {
        span_ = {};
    }

private:
    Ms first_;
    Ms longest_;
    Ms span_{};
    std::mt19937_64 random_;
};

}  // namespace silverrail::net

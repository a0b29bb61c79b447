// Timestamps that stay close to the wall clock and never decrease: a hybrid logical clock (Kulkarni,
// Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", OPODIS 2014).
#pragma once

#include <algorithm>
#include <cstdint>

namespace silverrail::cluster {

// Unix milliseconds.
using UnixMs = std::int64_t;

// Unix ms in the upper 48 bits, a counter in the lower 16. 0: none.
using HybridTimestamp = std::uint64_t;

constexpr UnixMs unix_ms_of(HybridTimestamp timestamp) {
    return static_cast<UnixMs>(timestamp >> 16);
}
constexpr HybridTimestamp hybrid_timestamp(UnixMs unix_ms) {
    return static_cast<HybridTimestamp>(unix_ms) << 16;
}

class HybridClock {
public:
    // Returns a timestamp greater than all returned or observed before: the wall clock's time if that is
    // later.
    HybridTimestamp next(UnixMs unix_now) {
        latest_ = std::max(latest_ + 1, hybrid_timestamp(unix_now));
        return latest_;
    }
    void observe(HybridTimestamp timestamp) {
        latest_ = std::max(latest_, timestamp);
    }
    HybridTimestamp latest() const {
        return latest_;
    }

private:
    HybridTimestamp latest_ = 0;
};

}  // namespace silverrail::cluster

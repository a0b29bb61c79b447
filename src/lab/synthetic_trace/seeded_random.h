// Random numbers from a seed, the same with every standard library (its distributions are not).
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

#include "lab/synthetic_trace/event_scheduler.h"

namespace silverrail::lab {

class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

    std::uint64_t next() {
        return engine_();
    }
    // From 0 up to, not including, 1.
    double uniform() {
        return static_cast<double>(next() >> 11) * 0x1p-53;
    }
    // From -1 up to, not including, 1.
    double symmetric() {
        return 2 * uniform() - 1;
    }
    // From 0 up to, not including, `bound`, which is above 0.
    EventScheduler::Duration below(EventScheduler::Duration bound) {
        const auto limit = static_cast<std::uint64_t>(bound.count());
        return EventScheduler::Duration{static_cast<EventScheduler::Duration::rep>(next() % limit)};
    }

private:
    std::mt19937_64 engine_;
};

// The time to the next event of a Poisson process; `uniform` is drawn from [0, 1).
inline EventScheduler::Duration exponential_delay(double uniform, double events_per_s) {
    return from_seconds(-std::log(1 - uniform) / events_per_s);
}

}  // namespace silverrail::lab

// Time as the state machines of src/cluster take it in: they read no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace silverrail::cluster {

// A point on a steady clock with any origin, or a span, in milliseconds.
using Time = std::chrono::milliseconds;

// A delay drawn evenly from [0, span), so that many routers do not act in step.
inline Time random_delay(std::mt19937_64& random, Time span) {
    const auto bound = static_cast<std::uint64_t>(std::max<Time::rep>(1, span.count()));
    return Time{static_cast<Time::rep>(random() % bound)};
}

}  // namespace silverrail::cluster

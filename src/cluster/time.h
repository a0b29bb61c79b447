// The time type of the state machines in src/cluster. They read no clock: the caller passes the current time.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace silverrail::cluster {

// A time point of a steady clock with an arbitrary epoch, or a duration, in milliseconds.
using Time = std::chrono::milliseconds;

// A delay drawn uniformly from [0, span), so that routers do not act at the same moment.
inline Time random_delay(std::mt19937_64& random, Time span) {
    const auto bound = static_cast<std::uint64_t>(std::max<Time::rep>(1, span.count()));
    return Time{static_cast<Time::rep>(random() % bound)};
}

}  // namespace silverrail::cluster

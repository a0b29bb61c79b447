// Unix time from a wall clock that may step at any moment, by seconds or by an hour, in either direction.
// Steps are detected by comparison with the monotonic clock. As it is unknown which side of a step is
// correct, both are kept as the lower and upper bound of the current time. Timestamps from other machines
// narrow the range again. Reads no clock: both readings are passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "silverrail/routing/router.h"

namespace silverrail::core {

using routing::Span;
using routing::Time;

class UnixTime {
public:
    // Readings of both clocks, taken at the same moment. `now` must be monotonic.
    void read(Time now, std::int64_t unix_ms);

    // A timestamp from another machine, taken no later than `now`: a lower bound of the current time. A
    // trusted one fully corrects a clock that has been behind since the start. An untrusted one can only
    // increase ages, and is ignored if it is further ahead than clocks step.
    enum class Trust { trusted, untrusted };
    void observe_timestamp(Time now, std::int64_t timestamp_ms, Trust trust);

    // Lower bound of a timestamp's age, by the earliest time that this clock has shown; never negative. 0
    // before the first reading.
    Span min_age(Time now, std::int64_t timestamp_ms) const;
    // Lower bound of a timestamp's age by timestamps of other machines alone, whatever this clock shows. 0
    // before the first of them.
    Span proven_age(Time now, std::int64_t timestamp_ms) const;
    // Upper bound of a timestamp's age; never negative. Absent before the first reading.
    std::optional<Span> max_age(Time now, std::int64_t timestamp_ms) const;
    // Upper bound of the current time, in Unix ms. Ages computed with it are never underestimated.
    std::int64_t latest_ms(Time now) const;

    // Steps of the wall clock detected so far.
    std::uint64_t steps() const {
        return steps_;
    }

private:
    // Unix time minus monotonic time, in ms.
    struct Offsets {
        std::int64_t last = 0;                 // at the last reading
        std::int64_t earliest = 0;             // the lowest that may be correct
        std::optional<std::int64_t> proven{};  // lower bound by observed timestamps
        std::int64_t trusted = 0;              // the highest by this clock or a trusted timestamp
        std::int64_t latest = 0;               // the highest by this clock or any timestamp
    };
    std::optional<Offsets> offsets_;
    std::uint64_t steps_ = 0;
};

}  // namespace silverrail::core

// Unix time by a wall clock that may be stepped at any moment, by seconds or an hour, both ways. Steps are
// seen against the monotonic clock. Which side of a step is right can't be known, so both are recorded,
// as the earliest and the latest that the time may be; timestamps from elsewhere narrow the range again. No
// clock is read here: both readings are passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "silverrail/routing/router.h"

namespace silverrail::core {

using routing::Span;
using routing::Time;

class UnixTime {
public:
    // Both clocks, read at one moment; `now` does not run backwards.
    void read(Time now, std::int64_t unix_ms);

    // A timestamp made elsewhere, not after `now`: that is the earliest that the time may be now. A trusted
    // one corrects a clock that has been behind from the start in every way. Any other can only make ages
    // greater, and is not believed further ahead than clocks are stepped.
    enum class Source { trusted, any };
    void observe_stamp(Time now, std::int64_t stamp_ms, Source source);

    // How long ago a timestamp was made by this clock, by the earliest time that it has shown; never
    // negative. Before the first reading every timestamp is of this moment.
    Span min_age(Time now, std::int64_t stamp_ms) const;
    // The same by timestamps from elsewhere alone, whatever this clock has shown: 0 before the first of them.
    Span proven_age(Time now, std::int64_t stamp_ms) const;
    // The latest that the time may be now, in Unix ms: by it nothing counts as younger than it is.
    std::int64_t latest_ms(Time now) const;

    // Steps of the wall clock seen so far.
    std::uint64_t steps() const {
        return steps_;
    }

private:
    // Unix time less monotonic time, in ms.
    struct Offsets {
        std::int64_t last = 0;                 // by the last reading
        std::int64_t earliest = 0;             // by any reading that may be right
        std::optional<std::int64_t> proven{};  // the latest that observed timestamps prove
        std::int64_t shown = 0;                // the latest by this clock, or by a trusted timestamp
        std::int64_t latest = 0;               // by any timestamp
    };
    std::optional<Offsets> offsets_;
    std::uint64_t steps_ = 0;
};

}  // namespace silverrail::core

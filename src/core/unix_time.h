// What the time elsewhere is, told from a wall clock that may be stepped at any moment, by seconds or an
// hour, both ways. Steps are seen against the steady clock. Which side of a step is right can't be known, so
// both are kept, as the earliest and the latest that the time may be; time stamps from elsewhere narrow the
// span again. No clock is read here: both readings come in.
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

    // A time stamp made elsewhere, which has passed by `now`: it is no later there. A trusted one corrects a
    // clock that has been behind from the start in every way. Any other can make ages greater only, and is
    // not believed further ahead than clocks are stepped.
    enum class Source { trusted, any };
    void passed(Time now, std::int64_t stamp_ms, Source source);

    // How long ago a stamp was made by this clock, by the earliest that it has shown; never less than
    // nothing. Before the first reading every stamp is of this moment.
    Span least_age(Time now, std::int64_t stamp_ms) const;
    // The same by stamps from elsewhere alone, whatever this clock has shown: nothing before the first of
    // them.
    Span proven_age(Time now, std::int64_t stamp_ms) const;
    // The latest that the time may be now, in Unix ms: by it nothing counts as younger than it is.
    std::int64_t latest_ms(Time now) const;

    std::uint64_t steps() const {
        return steps_;
    }  // seen so far

private:
    // Unix time less steady time, in ms.
    struct Offsets {
        std::int64_t last = 0;                 // by the last reading
        std::int64_t earliest = 0;             // by any that may be right
        std::optional<std::int64_t> proven{};  // no later than this, by stamps that have passed
        std::int64_t shown = 0;                // the latest by this clock, or by a trusted stamp
        std::int64_t latest = 0;               // by any stamp
    };
    std::optional<Offsets> offsets_;
    std::uint64_t steps_ = 0;
};

}  // namespace silverrail::core

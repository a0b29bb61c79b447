// Decides which responses the response cache may use although purges may have been missed.
//
// Discovery tells events in order, but neither how far behind it is nor, after an interruption, when it has
// told all that was missed: further events, comments and quiet may each come before the last of them, also on
// a stream that stays open. So two guarantees are used instead. A purge must take effect only some time after
// it was issued, even if discovery tells it late or never. And some time after a purge no server holds a copy
// from before it. Only an event that tells its own time proves how far the stream has come: the purges issued
// before it have been received.
#pragma once

#include <optional>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::cache {

using routing::Span;
using routing::Time;

class PurgeCoverage {
public:
    // A purge counts as told at the latest this long after discovery has it, whether or not it has arrived.
    static constexpr Span kToldWithin = std::chrono::seconds{7};

    // A purge must take effect within `effective_within` of being told. `cleared_within` of a purge, no
    // server holds a copy from before it.
    PurgeCoverage(Span effective_within, Span cleared_within);

    // All purges issued until `now` are known, as at the start of a router.
    void set_complete(Time now) {
        complete_until_ = now;
        confirm(now);
    }
    // All purges issued until `until` have been received, as a later event on the stream proves.
    void confirm(Time until);
    // Until when all purges are proved to have been received; absent: never.
    std::optional<Time> confirmed_until() const {
        return confirmed_until_;
    }
    // Discovery's event stream is live. Purges issued since `opened` are received on it, earlier ones perhaps
    // still later.
    void set_live(Time opened);
    // The stream was interrupted; it was live until `last_line`.
    void set_interrupted(Time last_line);
    // Purges that were issued long before `now` may still be missing, or were lost.
    void set_overdue(Time now);
    // Whether a response whose request was sent to a server at `requested` may be used at `now`: it predates
    // no missed purge, or none that must have taken effect by now. `generated`: lower bound of the time at
    // which the origin generated it; absent: unknown.
    bool may_use(Time requested, Time now, std::optional<Time> generated = std::nullopt) const;

private:
    // Purges issued between these two may have been missed.
    struct Gap {
        Time begin{};
        Time end{};
    };
    void add(Gap gap);
    bool may_predate_unconfirmed_purge(Time requested, Time now, std::optional<Time> generated) const;

    Span must_take_effect_after_;  // from the issue of a purge, if it is told as late as possible
    Span cleared_within_;
    bool live_ = false;
    std::optional<Time> complete_until_;   // when the stream was live last; absent: long ago
    std::optional<Time> confirmed_until_;  // absent: never
    std::optional<Time> overdue_until_;    // any purge issued before may be missing; absent: none is
    std::vector<Gap> gaps_;                // in the order of their ends; the last ones only
};

}  // namespace silverrail::cache

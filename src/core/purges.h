// The purges told, for the check at an attempt's first byte. Bounded; the module has its own memory of them.
#pragma once

#include <map>

#include "core/types.h"

namespace silverrail::core {

struct PurgeNotice {
    std::optional<winchflow::ObjectId> object;  // absent: the whole group
    winchflow::GroupId group{};
    std::int64_t issued_ms = 0;  // Unix time, by the clock of whoever issued it
};

// Spans are of steady time. Unix time is only ever compared with other stamps of the same kind: when a copy
// was made with when its object was purged.
class Purges {
public:
    // `cleared_after`: then no older copy is left anywhere. An answer that was asked for before that may
    // still be on its way for as long as a call lives, so a purge is remembered for `longest_call` more.
    Purges(Span cleared_after, Span longest_call)
        : cleared_after_(cleared_after), kept_for_(cleared_after + longest_call) {}
    // `at`: when it was issued, on the steady clock.
    void add(const PurgeNotice& purge, Time at, Time now);
    // When it was last purged, in Unix ms; absent: no answer that comes now is older than a purge of it.
    std::optional<std::int64_t> issued(const Call& call, Time now) const;
    // The oldest copy of it that a box may give; absent: boxes hold none that a purge touches.
    std::optional<Span> bound(const Call& call, Time now) const;
    std::size_t size() const { return objects_.size() + groups_.size(); }

private:
    struct Known {
        std::int64_t issued_ms = 0;
        Time at{};
        void renew(const Known& other);
    };
    std::optional<Known> latest(const Call& call) const;
    void forget(Time now);

    Span cleared_after_;
    Span kept_for_;
    Time swept_{};
    std::map<winchflow::ObjectId, Known> objects_;
    std::map<winchflow::GroupId, Known> groups_;
};

}  // namespace silverrail::core

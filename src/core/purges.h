// The purges told, for the check at an attempt's first byte. Bounded; the module has its own memory of them.
#pragma once

#include <map>

#include "core/types.h"
#include "core/unix_time.h"

namespace silverrail::core {

struct PurgeNotice {
    std::optional<routing::ObjectId> object;  // absent: the whole group
    routing::GroupId group{};
    std::int64_t issued_ms = 0;  // Unix time, by the clock of whoever issued it
};

// A purge is as old as stamps from elsewhere prove, and at least as old as its telling: by no clock of this
// machine, which may be ahead. Unix time is compared with other stamps only: when a copy was made with when
// its object was purged.
class Purges {
public:
    // `cleared_after`: then no older copy is left anywhere. An answer that was asked for before that may
    // still be on its way for as long as a call lives, so a purge is remembered for `longest_call` more.
    Purges(Span cleared_after, Span longest_call)
        : cleared_after_(cleared_after), kept_for_(cleared_after + longest_call) {}
    void add(const PurgeNotice& purge, Time now);
    // When it was last purged, in Unix ms; absent: no answer that comes now is older than a purge of it.
    std::optional<std::int64_t> issued(const Call& call, Time now) const;
    // The oldest copy of it that a server may give; absent: servers hold none that a purge touches.
    std::optional<Span> bound(const Call& call, Time now, const UnixTime& unix_time) const;
    std::size_t size() const {
        return objects_.size() + groups_.size();
    }

private:
    struct Known {
        std::int64_t issued_ms = 0;
        Time told{};
        void revalidate(const Known& other);
    };
    std::optional<Known> latest(const Call& call) const;
    void forget(Time now);

    Span cleared_after_;
    Span kept_for_;
    Time swept_{};
    std::map<routing::ObjectId, Known> objects_;
    std::map<routing::GroupId, Known> groups_;
};

}  // namespace silverrail::core

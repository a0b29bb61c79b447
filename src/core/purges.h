// The purges told, for the check at an attempt's first byte. Bounded; the module has its own memory of them.
#pragma once

#include <map>

#include "core/types.h"

namespace silverrail::core {

struct PurgeNotice {
    std::optional<winchflow::ObjectId> object;  // absent: the whole group
    winchflow::GroupId group{};
    std::int64_t issued_ms = 0;  // Unix time
};

class Purges {
public:
    // `cleared_after`: then no older copy is left anywhere. An answer that was asked for before that may
    // still be on its way for as long as a call lives, so a purge is remembered for `longest_call` more.
    Purges(Span cleared_after, Span longest_call)
        : cleared_ms_(cleared_after / std::chrono::milliseconds{1}),
          kept_ms_((cleared_after + longest_call) / std::chrono::milliseconds{1}) {}
    void add(const PurgeNotice& purge, std::int64_t unix_ms);
    // When it was last purged, in Unix ms; absent: no answer that comes now is older than a purge of it.
    std::optional<std::int64_t> issued(const Call& call, std::int64_t unix_ms) const;
    // The oldest copy of it that a box may give; absent: boxes hold none that a purge touches.
    std::optional<Span> bound(const Call& call, std::int64_t unix_ms) const;
    std::size_t size() const { return objects_.size() + groups_.size(); }

private:
    void forget(std::int64_t unix_ms);
    std::int64_t cleared_ms_;
    std::int64_t kept_ms_;
    std::int64_t swept_ms_ = 0;
    std::map<winchflow::ObjectId, std::int64_t> objects_;
    std::map<winchflow::GroupId, std::int64_t> groups_;
};

}  // namespace silverrail::core

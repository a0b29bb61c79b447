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
    // `kept_for`: after that no older copy is left anywhere.
    explicit Purges(Span kept_for) : kept_ms_(kept_for / std::chrono::milliseconds{1}) {}
    void add(const PurgeNotice& purge, std::int64_t unix_ms);
    // When it was last purged, in Unix ms; absent: no purge touches it.
    std::optional<std::int64_t> issued(const Call& call, std::int64_t unix_ms) const;
    // The oldest copy of it that will do; absent: no purge touches it.
    std::optional<Span> bound(const Call& call, std::int64_t unix_ms) const;
    std::size_t size() const { return objects_.size() + groups_.size(); }

private:
    void forget(std::int64_t unix_ms);
    std::int64_t kept_ms_;
    std::int64_t swept_ms_ = 0;
    std::map<winchflow::ObjectId, std::int64_t> objects_;
    std::map<winchflow::GroupId, std::int64_t> groups_;
};

}  // namespace silverrail::core

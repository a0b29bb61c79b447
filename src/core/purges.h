// The purges received recently, for the check at an attempt's first byte. Independent of the decision
// module's own list of purges.
#pragma once

#include <map>

#include "core/types.h"
#include "core/unix_time.h"

namespace silverrail::core {

struct PurgeNotice {
    std::optional<routing::ObjectId> object;  // absent: the whole group
    routing::GroupId group{};
    std::int64_t issued_ms = 0;  // Unix time in ms, by the issuer's clock
};

// The age of a purge is the time since it was received, or what timestamps of other machines prove, whichever
// is greater. This machine's wall clock is not used, as it may be ahead. Unix times are compared only with
// each other: the time at which a copy was generated with the time at which its object was purged.
class Purges {
public:
    // After `cleared_after` no server holds a copy older than the purge. A response requested before then may
    // be in flight for another `longest_request`, so purges are kept for the sum of both.
    Purges(Span cleared_after, Span longest_request)
        : cleared_after_(cleared_after), remembered_for_(cleared_after + longest_request) {}
    void add(const PurgeNotice& purge, Time now);
    // When the request's object was last purged, as Unix time in ms. Absent: no response that arrives now can
    // predate a purge of the object.
    std::optional<std::int64_t> last_issued_ms(const ClientRequest& request, Time now) const;
    // The maximum age of a copy that a server may respond with. Absent: no server still holds a purged copy.
    std::optional<Span> max_copy_age(const ClientRequest& request, Time now, const UnixTime& unix_time) const;
    std::size_t size() const {
        return objects_.size() + groups_.size();
    }

private:
    struct Entry {
        std::int64_t issued_ms = 0;
        Time received{};
        void merge(const Entry& other);
    };
    std::optional<Entry> latest(const ClientRequest& request) const;
    void forget_old(Time now);

    Span cleared_after_;
    Span remembered_for_;
    Time last_sweep_{};
    std::map<routing::ObjectId, Entry> objects_;
    std::map<routing::GroupId, Entry> groups_;
};

}  // namespace silverrail::core

// The purges received, for the check at an attempt's first byte. Bounded in time; the decision module has a
// memory of its own.
#pragma once

#include <map>

#include "core/types.h"
#include "core/unix_time.h"

namespace silverrail::core {

struct PurgeNotice {
    std::optional<routing::ObjectId> object;  // absent: the whole group
    routing::GroupId group{};
    std::int64_t issued_ms = 0;  // Unix time in ms, by the clock of the issuer
};

// A purge is as old as timestamps from elsewhere prove, and at least as old as the moment it was received.
// This machine's wall clock is not used, as it may be ahead. Unix times are compared only with each other:
// the time at which a copy was made with that at which its object was purged.
class Purges {
public:
    // After `cleared_after` no server holds an older copy. A response that was requested before that may be
    // in flight for `longest_request` more, so a purge is remembered for both together.
    Purges(Span cleared_after, Span longest_request)
        : cleared_after_(cleared_after), remembered_for_(cleared_after + longest_request) {}
    void add(const PurgeNotice& purge, Time now);
    // When the request's object was purged last, as Unix time in ms. Absent: no response that arrives now can
    // be older than a purge of it.
    std::optional<std::int64_t> last_issued_ms(const ClientRequest& request, Time now) const;
    // The greatest age of a copy that a server may answer with. Absent: no server holds a copy that a purge
    // concerns.
    std::optional<Span> max_copy_age(const ClientRequest& request, Time now, const UnixTime& unix_time) const;
    std::size_t size() const {
        return objects_.size() + groups_.size();
    }

private:
    struct Record {
        std::int64_t issued_ms = 0;
        Time received{};
        void merge(const Record& other);
    };
    std::optional<Record> latest(const ClientRequest& request) const;
    void forget_old(Time now);

    Span cleared_after_;
    Span remembered_for_;
    Time last_sweep_{};
    std::map<routing::ObjectId, Record> objects_;
    std::map<routing::GroupId, Record> groups_;
};

}  // namespace silverrail::core

// The purges of which older copies may still be around, and the age bounds that follow from them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

class PurgeHistory {
public:
    // `settings` must outlive it.
    explicit PurgeHistory(const Settings& settings) : settings_(settings) {}

    void record(const Purge& purge, Time now);

    // Drops the purges that every cache has completed by now. Cost: O(n), at most twice a second.
    void forget_completed(Time now);

    // The age that a copy for the request may have at most; absent: no purge concerns it.
    std::optional<Span> max_age(const Request& request, Time now) const;

    std::size_t size() const {
        return objects_.size() + groups_.size();
    }

private:
    const Settings& settings_;
    std::map<ObjectId, Time> objects_;
    std::map<GroupId, Time> groups_;
    Time swept_at_{};
};

}  // namespace silverrail::routing

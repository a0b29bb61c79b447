// Purges whose purged copies may still exist, and the maximum copy ages that follow from them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

class PurgeHistory {
public:
    // `settings` must outlive the object.
    explicit PurgeHistory(const Settings& settings) : settings_(settings) {}

    void record(const Purge& purge, Time now);

    // Removes the purges that every cache has completed by now. Costs O(n), at most twice per second.
    void erase_completed(Time now);

    // Maximum age of a copy for the request; absent if no purge applies to it.
    std::optional<Span> max_age(const Request& request, Time now) const;

    std::size_t size() const {
        return objects_.size() + groups_.size();
    }

private:
    const Settings& settings_;
    std::map<ObjectId, Time> objects_;
    std::map<GroupId, Time> groups_;
    Time last_cleanup_{};
};

}  // namespace silverrail::routing

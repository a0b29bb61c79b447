// LRU store of responses, by object, class and segment, with a capacity in bytes. A purge removes responses
// generated no later than the purge. Reads no clock and does no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::cache {

using routing::GroupId;
using routing::ObjectId;

struct ResponseKey {
    ObjectId object{};
    std::size_t class_index = 0;
    std::uint32_t segment = 0;
    auto operator<=>(const ResponseKey&) const = default;
};

struct StoredResponse {
    std::shared_ptr<const std::string> body;
    std::string tag;
    GroupId group{};
    std::int64_t generated_ms = 0;  // Unix time in ms at which the origin generated it
    routing::Time requested{};      // its request was sent to a server no earlier
};

class ResponseStore {
public:
    explicit ResponseStore(std::size_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}
    // Evicts responses until the new capacity is met.
    void set_capacity(std::size_t bytes);
    // Ignores a response without a body, one older than the stored one, and one too large for the capacity.
    void put(const ResponseKey& key, StoredResponse response);
    // Null: not stored. Marks the response as most recently used. Valid until the store is next modified.
    const StoredResponse* find(const ResponseKey& key);
    void erase(const ResponseKey& key);
    // Remove the responses of the object, or of the whole group, that were generated at or before
    // `issued_ms`.
    void purge_object(ObjectId object, std::int64_t issued_ms);
    void purge_group(GroupId group, std::int64_t issued_ms);
    std::size_t bytes() const {
        return bytes_;
    }
    std::size_t size() const {
        return entries_.size();
    }

private:
    struct Entry {
        StoredResponse response;
        std::list<ResponseKey>::iterator recency;
    };
    using Entries = std::map<ResponseKey, Entry>;
    static std::size_t cost(const StoredResponse& response);
    Entries::iterator erase(Entries::iterator entry);
    void evict_excess();

    std::size_t capacity_bytes_;
    std::size_t bytes_ = 0;
    Entries entries_;                 // sorted by object first, so that an object's responses are adjacent
    std::list<ResponseKey> recency_;  // least recently used first
    std::map<GroupId, std::set<ResponseKey>> groups_;
};

}  // namespace silverrail::cache

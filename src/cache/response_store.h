// Responses that passed through this router, by object, class and segment. Bounded in bytes: the least
// recently used one is evicted first. A purge drops what is older than itself. No clock and no I/O.
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
    std::int64_t generated_ms = 0;  // Unix time in ms at which the origin made it
};

class ResponseStore {
public:
    explicit ResponseStore(std::size_t capacity_bytes) : capacity_bytes_(capacity_bytes) {}
    // Evicts what exceeds the new capacity.
    void set_capacity(std::size_t bytes);
    // Ignored: a response without a body, one older than the stored one, and one too large for the
    // capacity.
    void put(const ResponseKey& key, StoredResponse response);
    // Absent: null. Counts as a use. Valid until the next change of the store.
    const StoredResponse* find(const ResponseKey& key);
    // Drop what was made up to `issued_ms`: of the object, or of the whole group.
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
        std::list<ResponseKey>::iterator use;
    };
    using Entries = std::map<ResponseKey, Entry>;
    static std::size_t cost(const StoredResponse& response);
    Entries::iterator erase(Entries::iterator entry);
    void evict_excess();

    std::size_t capacity_bytes_;
    std::size_t bytes_ = 0;
    Entries entries_;              // by object first, so that an object's responses are neighbours
    std::list<ResponseKey> uses_;  // the least recently used in front
    std::map<GroupId, std::set<ResponseKey>> groups_;
};

}  // namespace silverrail::cache

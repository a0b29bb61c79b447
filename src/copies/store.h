// Copies that passed through this router, by object, class and part; bounded in bytes, the one unused for
// longest goes first. A purge takes what is older than itself. No clock and no I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::copies {

using routing::GroupId;
using routing::ObjectId;

struct Key {
    ObjectId object{};
    std::size_t class_index = 0;
    std::uint32_t part = 0;
    auto operator<=>(const Key&) const = default;
};

struct Copy {
    std::shared_ptr<const std::string> body;
    std::string tag;
    GroupId group{};
    std::int64_t made_ms = 0;  // Unix time at which the origin gave it out
};

class Store {
public:
    explicit Store(std::size_t most_bytes) : most_(most_bytes) {}
    void limit(std::size_t most_bytes);
    // An older copy than the one held changes nothing.
    void put(const Key& key, Copy copy);
    const Copy* find(const Key& key);  // a use
    // Drops what was made up to `issued_ms`: of the object, or of the whole group.
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
        Copy copy;
        std::list<Key>::iterator use;
    };
    using Entries = std::map<Key, Entry>;
    static std::size_t cost(const Copy& copy);
    Entries::iterator erase(Entries::iterator at);
    void shrink();

    std::size_t most_;
    std::size_t bytes_ = 0;
    Entries entries_;      // by object first, so that an object's copies stand together
    std::list<Key> uses_;  // the longest unused in front
    std::map<GroupId, std::set<Key>> groups_;
};

}  // namespace silverrail::copies

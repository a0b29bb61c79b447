#include "cache/response_store.h"

#include <utility>

namespace silverrail::cache {

namespace {
// Memory of an entry in addition to its bytes: three tree nodes, a list node and the string objects.
constexpr std::size_t kEntryOverheadBytes = 400;
// A response larger than 1/8 of the capacity would evict too many others.
constexpr std::size_t kMaxResponseDivisor = 8;
}  // namespace

std::size_t ResponseStore::cost(const StoredResponse& response) {
    return response.body->size() + response.tag.size() + kEntryOverheadBytes;
}

ResponseStore::Entries::iterator ResponseStore::erase(Entries::iterator entry) {
    const StoredResponse& response = entry->second.response;
    bytes_ -= cost(response);
    recency_.erase(entry->second.recency);
    const auto group = groups_.find(response.group);
    group->second.erase(entry->first);
    if (group->second.empty())
        groups_.erase(group);
    return entries_.erase(entry);
}

void ResponseStore::put(const ResponseKey& key, StoredResponse response) {
    if (!response.body)
        return;
    if (const auto stored = entries_.find(key); stored != entries_.end()) {
        if (stored->second.response.generated_ms > response.generated_ms)
            return;
        erase(stored);
    }
    if (cost(response) > capacity_bytes_ / kMaxResponseDivisor)
        return;
    bytes_ += cost(response);
    groups_[response.group].insert(key);
    entries_.emplace(key, Entry{std::move(response), recency_.insert(recency_.end(), key)});
    evict_excess();
}

void ResponseStore::set_capacity(std::size_t bytes) {
    capacity_bytes_ = bytes;
    evict_excess();
}

void ResponseStore::erase(const ResponseKey& key) {
    if (const auto stored = entries_.find(key); stored != entries_.end())
        erase(stored);
}

void ResponseStore::evict_excess() {
    while (bytes_ > capacity_bytes_)
        erase(entries_.find(recency_.front()));
}

const StoredResponse* ResponseStore::find(const ResponseKey& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return nullptr;
    recency_.splice(recency_.end(), recency_, found->second.recency);
    return &found->second.response;
}

void ResponseStore::purge_object(ObjectId object, std::int64_t issued_ms) {
    auto entry = entries_.lower_bound(ResponseKey{.object = object});
    while (entry != entries_.end() && entry->first.object == object)
        entry = entry->second.response.generated_ms <= issued_ms ? erase(entry) : std::next(entry);
}

void ResponseStore::purge_group(GroupId group, std::int64_t issued_ms) {
    const auto of_group = groups_.find(group);
    if (of_group == groups_.end())
        return;
    const std::set<ResponseKey> keys = of_group->second;  // copied, as erase() modifies the original
    for (const ResponseKey& key : keys) {
        const auto entry = entries_.find(key);
        if (entry->second.response.generated_ms <= issued_ms)
            erase(entry);
    }
}

}  // namespace silverrail::cache

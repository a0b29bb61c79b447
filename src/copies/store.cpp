#include "copies/store.h"

#include <utility>

namespace silverrail::copies {

namespace {
// What an entry takes beside its bytes: three tree nodes, a list node, the strings' heads.
constexpr std::size_t kEntryCost = 400;
}  // namespace

std::size_t Store::cost(const Copy& copy) {
    return copy.body->size() + copy.tag.size() + kEntryCost;
}

Store::Entries::iterator Store::erase(Entries::iterator at) {
    bytes_ -= cost(at->second.copy);
    uses_.erase(at->second.use);
    const auto group = groups_.find(at->second.copy.group);
    group->second.erase(at->first);
    if (group->second.empty())
        groups_.erase(group);
    return entries_.erase(at);
}

void Store::put(const Key& key, Copy copy) {
    if (!copy.body)
        return;
    if (const auto at = entries_.find(key); at != entries_.end()) {
        if (at->second.copy.made_ms > copy.made_ms)
            return;
        erase(at);
    }
    if (cost(copy) > most_ / 8)
        return;  // it would push out too many others
    bytes_ += cost(copy);
    groups_[copy.group].insert(key);
    entries_.emplace(key, Entry{std::move(copy), uses_.insert(uses_.end(), key)});
    shrink();
}

void Store::limit(std::size_t most_bytes) {
    most_ = most_bytes;
    shrink();
}

void Store::shrink() {
    while (bytes_ > most_)
        erase(entries_.find(uses_.front()));
}

const Copy* Store::find(const Key& key) {
    const auto at = entries_.find(key);
    if (at == entries_.end())
        return nullptr;
    uses_.splice(uses_.end(), uses_, at->second.use);
    return &at->second.copy;
}

void Store::purge_object(ObjectId object, std::int64_t issued_ms) {
    for (auto at = entries_.lower_bound(Key{.object = object});
         at != entries_.end() && at->first.object == object;)
        at = at->second.copy.made_ms <= issued_ms ? erase(at) : std::next(at);
}

void Store::purge_group(GroupId group, std::int64_t issued_ms) {
    const auto of_group = groups_.find(group);
    if (of_group == groups_.end())
        return;
    const std::set<Key> keys = of_group->second;  // erasing changes it
    for (const Key& key : keys)
        if (const auto at = entries_.find(key); at->second.copy.made_ms <= issued_ms)
            erase(at);
}

}  // namespace silverrail::copies

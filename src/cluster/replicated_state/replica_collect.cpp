// Garbage collection: removes tombstones, and where values age out also values, after their retention time.
#include <algorithm>
#include <iterator>

#include "cluster/replicated_state/replica.h"

namespace silverrail::cluster {

namespace {

constexpr UnixMs kMaxCollectionIntervalMs = 60'000;

}  // namespace

void Replica::collect_garbage_if_due(UnixMs unix_now) {
    if (unix_now < next_collection_)
        return;
    collect_garbage(unix_now);
    const auto interval = std::min(settings_.tombstone_retention / 20, kMaxCollectionIntervalMs);
    next_collection_ = unix_now + std::max<UnixMs>(1, interval);
}

void Replica::collect_garbage(UnixMs unix_now) {
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto& key = it->first;
        auto& entry = it->second;
        bool any_removed = false;
        bool tombstone_removed = false;
        std::erase_if(entry.writes, [&](const auto& item) {
            const auto& [writer, write] = item;
            if (!is_collectable(writer, write, entry, unix_now))
                return false;
            any_removed = true;
            tombstone_removed |= !write.is_live();
            return true;
        });
        if (any_removed) {
            unsaved_.keys.insert(key);
            touch(key);
        }
        const bool key_removed = entry.writes.empty();
        if (key_removed || tombstone_removed)
            mark_collected(key, key_removed);
        counters_.collected += key_removed ? 1 : 0;
        it = key_removed ? entries_.erase(it) : std::next(it);
    }
    if (settings_.value_retention > 0)
        remove_idle_writers(unix_now);
}

// Values age out on each router by its own clock. A tombstone is removed only once the set that it clears was
// seen here, as a set that arrives later would be live again. Where values age out, a tombstone older than
// value_retention is removed in any case: a set that arrives later has expired.
bool Replica::is_collectable(const std::string& writer, const KeyWrite& write, const ReplicatedEntry& entry,
                             UnixMs unix_now) const {
    const bool values_age = settings_.value_retention > 0;
    if (write.is_live())
        return values_age && unix_now - unix_ms_of(write.timestamp) > settings_.value_retention;
    const auto age = unix_now - unix_ms_of(entry.changed);
    return age > settings_.tombstone_retention && (is_version_held(writer, write.cleared_version) ||
                                                   (values_age && age > settings_.value_retention));
}

// Marks the key's versions as collected: a peer that has not seen them needs a snapshot, as updates would
// leave a gap.
void Replica::mark_collected(const std::string& key, bool key_removed) {
    for (auto& [writer, log] : writer_logs_) {
        const auto version = log.versions_by_key.find(key);
        if (version == log.versions_by_key.end())
            continue;
        log.collected_version = std::max(log.collected_version, version->second);
        if (key_removed) {
            unsaved_.log_items.emplace(writer, key);
            log.remove(key);
        }
        unsaved_.writers.insert(writer);
    }
}

// Removes the writers of router runs that have ended; nothing else would remove them.
void Replica::remove_idle_writers(UnixMs unix_now) {
    std::erase_if(writer_logs_, [&](const auto& item) {
        const auto& [writer, log] = item;
        return writer != writer_ && log.empty() && unix_now - log.advanced_at > settings_.writer_retention;
    });
    std::erase_if(heard_versions_, [this](const auto& item) { return !writer_logs_.contains(item.first); });
    recompute_digest();
}

}  // namespace silverrail::cluster

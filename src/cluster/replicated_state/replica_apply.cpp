// Applies updates from peers.
#include <utility>

#include "cluster/replicated_state/replica.h"

namespace silverrail::cluster {

namespace {

constexpr std::size_t kMaxPendingGossip = 256;

}  // namespace

// A version counts as held only if no version between it and the held ones was left out.
void Replica::apply_updates(const ReplicaMessage& message, UnixMs unix_now) {
    std::set<std::string> blocked_writers;  // no further version of these counts as held
    std::vector<std::pair<const ReplicaUpdate*, MergeResult>> held;
    for (const auto& update : message.updates) {
        if (is_rejected_or_duplicate(update) || blocked_writers.contains(update.writer))
            continue;
        const auto result = apply_update(update, unix_now);
        if (!result) {
            blocked_writers.insert(update.writer);
        } else if (message.kind == ReplicaMessage::Kind::gossip) {
            if (result->changed && pending_gossip_.size() < kMaxPendingGossip)
                pending_gossip_.push_back(update);
        } else if (follows_held_versions(update, message.base_versions)) {
            held.emplace_back(&update, *result);
        } else {
            blocked_writers.insert(update.writer);
        }
    }
    // Versions are recorded only after all updates are merged: a recorded version marks the writer's changes
    // up to it as seen, and merge() would take those that are not merged yet for collected ones.
    for (const auto& [update, result] : held)
        record_version(update->writer, update->version, update->key, result.partial);
}

bool Replica::is_rejected_or_duplicate(const ReplicaUpdate& update) {
    const auto known = writer_logs_.find(update.writer);
    if (known == writer_logs_.end() && writer_logs_.size() >= settings_.max_writers) {
        ++counters_.rejected;
        return true;
    }
    // A replay is not applied: the change may have been cleared and collected since.
    if (known != writer_logs_.end() && update.version <= known->second.version) {
        ++counters_.duplicates;
        return true;
    }
    return false;
}

// Returns nothing if the update was not applied; a later exchange sends it again.
std::optional<Replica::MergeResult> Replica::apply_update(const ReplicaUpdate& update, UnixMs unix_now) {
    if (is_too_far_ahead(update.entry, unix_now)) {
        ++counters_.ahead;
        return std::nullopt;
    }
    const auto result = merge(update.key, update.entry);
    if (!result.held) {
        ++counters_.rejected;
        return std::nullopt;
    }
    ++counters_.applied;
    return result;
}

bool Replica::follows_held_versions(const ReplicaUpdate& update, const VersionVector& base_versions) const {
    const auto base = base_versions.find(update.writer);
    if (base == base_versions.end())
        return false;
    const auto known = writer_logs_.find(update.writer);
    return base->second <= (known == writer_logs_.end() ? 0 : known->second.version);
}

bool Replica::is_too_far_ahead(const ReplicatedEntry& entry, UnixMs unix_now) const {
    return unix_ms_of(entry.changed) > unix_now + settings_.max_clock_skew;
}

}  // namespace silverrail::cluster

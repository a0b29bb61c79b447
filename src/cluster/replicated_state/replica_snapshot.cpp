// Snapshots: the full state, fetched page by page by a replica that was away for longer than its peer keeps
// tombstones.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/replicated_state/replica.h"

namespace silverrail::cluster {

void Replica::request_snapshot_if_needed(const ReplicaMessage& message, Time now, Outgoing& out) {
    if (!message.snapshot_needed || snapshot_)
        return;
    snapshot_ = SnapshotTransfer{.sender = message.sender, .last_page = now};
    reply(message, make_message(ReplicaMessage::Kind::snapshot_request), out);
}

// Returns the entries after the cursor in the order of their keys, as many as a message holds.
ReplicaMessage Replica::snapshot_page(const std::string& cursor) const {
    auto page = make_message(ReplicaMessage::Kind::snapshot_page);
    page.cursor = cursor;
    if (cursor.empty())
        page.versions = versions();
    // Sent with each page: the receiver starts over if these versions changed between two pages.
    for (const auto& [writer, log] : writer_logs_)
        if (log.collected_version > 0)
            page.base_versions.emplace(writer, log.collected_version);
    std::size_t bytes = 0;
    for (auto it = entries_.upper_bound(cursor); it != entries_.end(); ++it) {
        auto updates = snapshot_updates(it->first, it->second);
        for (const auto& update : updates)
            bytes += approximate_size(update);
        const bool too_much = bytes > settings_.max_exchange_bytes ||
                              page.updates.size() + updates.size() > ReplicaMessage::kMaxUpdates;
        if (!page.updates.empty() && too_much) {
            page.complete = false;
            break;
        }
        std::move(updates.begin(), updates.end(), std::back_inserter(page.updates));
    }
    return page;
}

// One update for each writer whose log has the key; if there is none, one update without a writer.
std::vector<ReplicaUpdate> Replica::snapshot_updates(const std::string& key,
                                                     const ReplicatedEntry& entry) const {
    std::vector<ReplicaUpdate> out;
    for (const auto& [writer, log] : writer_logs_)
        if (const auto version = log.versions_by_key.find(key); version != log.versions_by_key.end())
            out.push_back({writer, version->second, key, entry});
    if (out.empty())
        out.push_back({{}, 0, key, entry});
    return out;
}

void Replica::on_snapshot_page(const ReplicaMessage& page, Time now, UnixMs unix_now, Outgoing& out) {
    if (!snapshot_ || page.sender != snapshot_->sender || page.cursor != snapshot_->cursor)
        return;
    snapshot_->last_page = now;
    if (!add_page(page, unix_now)) {
        snapshot_.reset();  // requested again in a later exchange
        return;
    }
    if (!page.complete && !page.updates.empty()) {
        snapshot_->cursor = page.updates.back().key;
        auto request = make_message(ReplicaMessage::Kind::snapshot_request);
        request.cursor = snapshot_->cursor;
        out.push_back({page.sender_address, std::move(request)});
        return;
    }
    const auto snapshot = std::move(*snapshot_);
    snapshot_.reset();
    install_snapshot(snapshot);
}

// False: this snapshot can't be completed.
bool Replica::add_page(const ReplicaMessage& page, UnixMs unix_now) {
    if (page.cursor.empty()) {
        snapshot_->versions = page.versions;
        snapshot_->collected_versions = page.base_versions;
    } else if (snapshot_->collected_versions != page.base_versions) {
        // The sender collected entries between two pages: they may be missing although the versions of the
        // first page do not cover their removal.
        return false;
    }
    for (const auto& update : page.updates) {
        if (is_too_far_ahead(update.entry, unix_now) ||
            snapshot_->updates.size() >= 4 * settings_.max_entries) {
            ++counters_.ahead;
            return false;
        }
        snapshot_->updates.push_back(update);
    }
    return true;
}

// Replaces the held state by the snapshot, except for writes that its sender had not seen.
void Replica::install_snapshot(const SnapshotTransfer& snapshot) {
    const auto partial = merge_snapshot(snapshot);
    remove_writes_missing_in_snapshot(snapshot);
    raise_versions(snapshot.versions);
    record_snapshot_versions(snapshot, partial);
    remove_log_items_without_entry(snapshot.collected_versions);
    recompute_digest();
    unsaved_.everything = true;
    ++counters_.snapshots;
}

// Returns the keys of which some writes were left out, as they had been collected here.
std::set<std::string> Replica::merge_snapshot(const SnapshotTransfer& snapshot) {
    std::set<std::string> partial;
    for (const auto& update : snapshot.updates)
        if (merge(update.key, update.entry).partial)
            partial.insert(update.key);
    return partial;
}

// A write that is held here but missing in the snapshot, although the sender has seen its version, was
// cleared and collected meanwhile.
void Replica::remove_writes_missing_in_snapshot(const SnapshotTransfer& snapshot) {
    std::map<std::string, const ReplicatedEntry*> snapshot_entries;
    for (const auto& update : snapshot.updates)
        snapshot_entries[update.key] = &update.entry;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto in_snapshot = snapshot_entries.find(it->first);
        std::erase_if(it->second.writes, [&](const auto& item) {
            const auto& [writer, write] = item;
            const auto seen = snapshot.versions.find(writer);
            return (in_snapshot == snapshot_entries.end() || !in_snapshot->second->writes.contains(writer)) &&
                   seen != snapshot.versions.end() && write.set_version <= seen->second;
        });
        touch(it->first);
        it = it->second.writes.empty() ? entries_.erase(it) : std::next(it);
    }
}

void Replica::raise_versions(const VersionVector& versions) {
    for (const auto& [writer, version] : versions) {
        if (writer_logs_.size() >= settings_.max_writers && !writer_logs_.contains(writer))
            continue;
        auto& log = writer_logs_[writer];
        if (version <= log.version)
            continue;
        log.version = version;
        log.advanced_at = unix_ms_of(clock_.latest());
    }
}

// Records only versions that the first page covers; changes that the sender received while it sent the pages
// follow in an exchange.
void Replica::record_snapshot_versions(const SnapshotTransfer& snapshot,
                                       const std::set<std::string>& partial) {
    for (const auto& update : snapshot.updates)
        if (is_version_held(update.writer, update.version) && entries_.contains(update.key))
            record_version(update.writer, update.version, update.key, partial.contains(update.key));
}

void Replica::remove_log_items_without_entry(const VersionVector& collected_versions) {
    for (auto& [writer, log] : writer_logs_) {
        if (const auto theirs = collected_versions.find(writer); theirs != collected_versions.end())
            log.collected_version = std::max(log.collected_version, theirs->second);
        for (const auto& [version, key] : log.keys_by_version)
            if (!entries_.contains(key))
                log.collected_version = std::max(log.collected_version, version);
        std::erase_if(log.keys_by_version,
                      [this](const auto& item) { return !entries_.contains(item.second); });
        std::erase_if(log.versions_by_key,
                      [this](const auto& item) { return !entries_.contains(item.first); });
    }
}

}  // namespace silverrail::cluster

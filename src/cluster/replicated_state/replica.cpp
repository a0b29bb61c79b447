#include "cluster/replicated_state/replica.h"

#include <algorithm>
#include <utility>

namespace silverrail::cluster {

Replica::Replica(std::string name, std::string address, std::string writer, const ReplicaSettings& settings,
                 std::uint64_t random_seed, Time now)
    : name_(std::move(name)),
      address_(std::move(address)),
      writer_(std::move(writer)),
      settings_(settings),
      random_(random_seed),
      next_exchange_(now + random_delay(random_, settings.exchange_interval)) {
    writer_logs_[writer_];
}

void Replica::restore(Entries entries, WriterLogs writers) {
    entries_ = std::move(entries);
    writer_logs_ = std::move(writers);
    writer_logs_[writer_];
    recompute_digest();
    for (const auto& [key, entry] : entries_) {
        clock_.observe(entry.changed);
        touch(key);
    }
}

bool Replica::is_set(const std::string& key) const {
    return value(key) != nullptr;
}

const std::string* Replica::value(const std::string& key) const {
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return nullptr;
    const auto* write = found->second.winner();
    return write ? &write->value : nullptr;
}

Replica::UnsavedChanges Replica::take_unsaved_changes() {
    return std::exchange(unsaved_, {});
}

std::set<std::string> Replica::take_touched_keys() {
    return std::exchange(touched_keys_, {});
}

bool Replica::set(const std::string& key, const std::string& value, UnixMs unix_now) {
    ReplicatedEntry entry;
    if (const auto found = entries_.find(key); found != entries_.end())
        entry = found->second;
    for (auto& [writer, write] : entry.writes)
        write.clear();
    entry.changed = clock_.next(unix_now);
    auto& own = entry.writes[writer_];
    own = {writer_logs_[writer_].version + 1, own.cleared_version, entry.changed, value};
    return commit_local_change(key, entry);
}

bool Replica::clear(const std::string& key, UnixMs unix_now) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.is_set())
        return true;  // nothing to clear
    ReplicatedEntry entry = found->second;
    entry.changed = clock_.next(unix_now);
    for (auto& [writer, write] : entry.writes)
        write.clear();
    return commit_local_change(key, entry);
}

bool Replica::commit_local_change(const std::string& key, const ReplicatedEntry& entry) {
    if (!is_valid(key, entry) || !merge(key, entry).held)
        return false;
    const auto version = writer_logs_[writer_].version + 1;
    record_version(writer_, version, key, false);
    pending_gossip_.push_back({writer_, version, key, entries_.at(key)});
    return true;
}

Replica::MergeResult Replica::merge(const std::string& key, const ReplicatedEntry& incoming) {
    MergeResult out;
    clock_.observe(incoming.changed);
    const auto found = entries_.find(key);
    const auto* held = found == entries_.end() ? nullptr : &found->second;
    ReplicatedEntry entry = incoming;
    out.partial = drop_collected_writes(entry, held);
    if (entry.writes.empty())
        return out;
    ReplicatedEntry joined = held ? join(*held, entry) : std::move(entry);
    if (joined.writes.size() > kMaxWrites || (!held && entries_.size() >= settings_.max_entries)) {
        out.held = false;
        return out;
    }
    if (held && joined == *held)
        return out;
    entries_[key] = std::move(joined);
    unsaved_.keys.insert(key);
    touch(key);
    change_merged_ = true;
    out.changed = true;
    return out;
}

// Removes the writes that were cleared and collected here: those whose version was seen although no write of
// their writer is held. True if there were any.
bool Replica::drop_collected_writes(ReplicatedEntry& incoming, const ReplicatedEntry* held) const {
    const auto dropped = std::erase_if(incoming.writes, [&](const auto& item) {
        const auto& [writer, write] = item;
        return is_version_held(writer, std::max(write.set_version, write.cleared_version)) &&
               (!held || !held->writes.contains(writer));
    });
    return dropped > 0;
}

bool Replica::is_version_held(const std::string& writer, std::uint64_t version) const {
    const auto found = writer_logs_.find(writer);
    return found != writer_logs_.end() && version <= found->second.version;
}

void Replica::touch(const std::string& key) {
    touched_keys_.insert(key);
    ++revision_;
}

// `partial`: some writes of the change were dropped here, so this replica can't pass the change on.
void Replica::record_version(const std::string& writer, std::uint64_t version, const std::string& key,
                             bool partial) {
    auto& log = writer_logs_[writer];
    auto& bucket = digest_[digest_bucket(writer)];
    bucket ^= digest_part(writer, log);
    add_to_log(writer, log, version, key, partial);
    bucket ^= digest_part(writer, log);
}

void Replica::add_to_log(const std::string& writer, WriterLog& log, std::uint64_t version,
                         const std::string& key, bool partial) {
    const bool removed = !entries_.contains(key);
    if (removed || partial) {
        log.collected_version = std::max(log.collected_version, version);
        unsaved_.writers.insert(writer);
    }
    if (!removed) {
        if (!log.add(version, key))
            return;
        unsaved_.log_items.emplace(writer, key);
    }
    advance(writer, log, version);
}

void Replica::advance(const std::string& writer, WriterLog& log, std::uint64_t version) {
    if (version <= log.version)
        return;
    log.version = version;
    log.advanced_at = unix_ms_of(clock_.latest());
    unsaved_.writers.insert(writer);
}

std::uint64_t Replica::digest_part(const std::string& writer, const WriterLog& log) const {
    const bool aged_out = settings_.value_retention > 0 && log.empty();
    if (aged_out || log.version == 0)
        return 0;
    return fnv1a(fnv1a(kFnvOffsetBasis, writer), log.version);
}

void Replica::recompute_digest() {
    digest_ = {};
    for (const auto& [writer, log] : writer_logs_)
        digest_[digest_bucket(writer)] ^= digest_part(writer, log);
}

}  // namespace silverrail::cluster

// The state that all routers share: a map of keys to values. Every router ends up with the same state,
// whatever the order in which the changes arrive.
//
// A state machine without I/O, clocks or threads, like src/cluster/membership: the caller passes in the time
// (of a steady clock for intervals, Unix time for timestamps) and a seed for the randomness; every call
// returns the messages to send. The caller stores what a call changed (take_unsaved_changes) before it sends
// the messages, so that a response acknowledges only changes that are stored.
//
// Anti-entropy follows van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for
// Anti-Entropy Protocols" (LADIS 2008): each writer numbers its updates with versions; peers compare the
// highest version that they hold of each writer and send the updates above it.
//
// Merging (docs/design/replication.md): an entry holds one write for each writer that set the key, with the
// version of that change. A router that sets or clears a key clears the writes that it has seen, and no
// others: what was set concurrently on another router stays set, as an operator's ban must. Two copies of an
// entry are joined write by write, keeping the higher version of each; of several live writes the one with
// the highest timestamp counts. So every order of delivery ends in the same state. A write that is not held
// although its version was seen has been cleared and garbage-collected: an old copy does not restore it (as
// in the optimised observed-remove set of Bieniusa et al., 2012).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/replicated_state/hybrid_timestamp.h"
#include "cluster/replicated_state/replica_message.h"
#include "cluster/replicated_state/replicated_entry.h"
#include "cluster/replicated_state/writer_log.h"
#include "cluster/time.h"

namespace silverrail::cluster {

struct ReplicaSettings {
    std::uint8_t channel = 0;
    Time exchange_interval{1000};  // between anti-entropy exchanges, each with one peer
    // The interval for 2 s after a change, so that peers that missed its gossip catch up soon. 0: always
    // exchange_interval.
    Time fast_exchange_interval{200};
    UnixMs tombstone_retention = 86'400'000;  // a replica that was away for longer needs a snapshot
    // Values set longer ago than this are collected too; 0: never. If it is above 0, nothing is stored and
    // every run of a router is a writer of its own; a writer of which no change is held any more is left out
    // of the digest and removed after writer_retention.
    UnixMs value_retention = 0;
    UnixMs writer_retention = 600'000;
    UnixMs max_clock_skew = 10'000;             // an update from further in the future is not applied
    std::size_t max_exchange_bytes = 64 << 10;  // of updates in one message
    std::size_t max_entries = 20'000;
    std::size_t max_writers = 4'096;
    std::size_t gossip_fanout = 3;
};

struct ReplicaCounters {
    std::uint64_t applied = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t ahead = 0;  // from further in the future than max_clock_skew
    std::uint64_t rejected = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t exchanges = 0;
    std::uint64_t updates_sent = 0;
    std::uint64_t collected = 0;
};

class Replica {
public:
    using Outgoing = std::vector<OutgoingReplicaMessage>;
    using Entries = std::map<std::string, ReplicatedEntry>;  // by key
    using WriterLogs = std::map<std::string, WriterLog>;     // by writer

    // `writer`: the name under which this router makes changes. No other router may use it, nor may a later
    // run that has lost changes made under it.
    Replica(std::string name, std::string address, std::string writer, const ReplicaSettings& settings,
            std::uint64_t random_seed, Time now);
    // Loads the stored state. Must be called before any other function.
    void restore(Entries entries, WriterLogs writers);

    // Make a change. False: nothing was changed, as key or value exceed their limits or the replica is full.
    bool set(const std::string& key, const std::string& value, UnixMs unix_now);
    bool clear(const std::string& key, UnixMs unix_now);

    // Runs the periodic work that is due. `peers`: addresses of the other members that are alive.
    Outgoing tick(Time now, UnixMs unix_now, const std::vector<std::string>& peers);
    // Handles a peer's message. A malformed one is rejected as a whole and counted.
    Outgoing receive(const ReplicaMessage& message, Time now, UnixMs unix_now);

    const Entries& entries() const {
        return entries_;
    }
    bool is_set(const std::string& key) const;
    // Null: the key is not set.
    const std::string* value(const std::string& key) const;
    // Changes whenever the value of a key may have changed; never 0.
    std::uint64_t revision() const {
        return revision_;
    }
    const std::string& writer() const {
        return writer_;
    }
    const WriterLogs& writer_logs() const {
        return writer_logs_;
    }
    const ReplicaDigest& digest() const {
        return digest_;
    }
    VersionVector versions() const;
    // The highest version known of each writer, held here or not: the difference to versions() is the
    // replication lag.
    const VersionVector& heard_versions() const {
        return heard_versions_;
    }
    const ReplicaCounters& counters() const {
        return counters_;
    }

    // The changes since the last call, to be stored.
    struct UnsavedChanges {
        std::set<std::string> keys;                               // deleted from the store if no longer held
        std::set<std::string> writers;                            // whose versions changed
        std::set<std::pair<std::string, std::string>> log_items;  // writer and key: the version changed
        bool everything = false;  // a snapshot was installed: what is stored but no longer held is deleted
    };
    UnsavedChanges take_unsaved_changes();
    // Keys whose value may have changed since the last call.
    std::set<std::string> take_touched_keys();

private:
    struct MergeResult {
        bool held = true;      // false: the key or replica is full
        bool changed = false;  // the held entry was changed
        bool partial = false;  // writes that were cleared and collected here were left out
    };
    // A snapshot that is being fetched, page by page.
    struct SnapshotTransfer {
        std::string sender{};
        std::string cursor{};
        VersionVector versions{};
        VersionVector collected_versions{};
        std::vector<ReplicaUpdate> updates{};
        Time last_page{};
    };
    struct WriterBehind;

    // Changes and their versions (replica.cpp).
    bool commit_local_change(const std::string& key, const ReplicatedEntry& entry);
    MergeResult merge(const std::string& key, const ReplicatedEntry& incoming);
    bool drop_collected_writes(ReplicatedEntry& incoming, const ReplicatedEntry* held) const;
    void record_version(const std::string& writer, std::uint64_t version, const std::string& key,
                        bool partial);
    void add_to_log(const std::string& writer, WriterLog& log, std::uint64_t version, const std::string& key,
                    bool partial);
    void advance(const std::string& writer, WriterLog& log, std::uint64_t version);
    bool is_version_held(const std::string& writer, std::uint64_t version) const;
    void touch(const std::string& key);
    std::uint64_t digest_part(const std::string& writer, const WriterLog& log) const;
    void recompute_digest();

    // Anti-entropy and gossip (replica_exchange.cpp).
    void schedule_fast_exchange_after_change(Time now);
    void send_gossip(const std::vector<ReplicaUpdate>& updates, const std::vector<std::string>& peers,
                     Outgoing& out);
    void start_exchange(Time now, const std::vector<std::string>& peers, Outgoing& out);
    bool is_acceptable(const ReplicaMessage& message) const;
    void update_heard_versions(const VersionVector& versions);
    void on_digest(const ReplicaMessage& message, Outgoing& out);
    void on_versions(const ReplicaMessage& message, Time now, Outgoing& out);
    void on_delta_exchange(const ReplicaMessage& message, Time now, UnixMs unix_now, Outgoing& out);
    void on_delta(const ReplicaMessage& message, Time now, UnixMs unix_now, Outgoing& out);
    ReplicaMessage make_message(ReplicaMessage::Kind kind) const;
    void reply(const ReplicaMessage& to, ReplicaMessage response, Outgoing& out);
    VersionVector versions_in(std::uint64_t bucket_mask) const;
    // Fills a delta with what the sender of `request` lacks, in the buckets of its mask.
    void add_missing_updates(const ReplicaMessage& request, ReplicaMessage& delta) const;
    std::vector<WriterBehind> writers_behind(const ReplicaMessage& request, bool& snapshot_needed) const;
    std::vector<ReplicaUpdate> updates_after(const std::string& writer, const WriterLog& log,
                                             std::uint64_t version) const;

    // Updates from peers (replica_apply.cpp).
    void apply_updates(const ReplicaMessage& message, UnixMs unix_now);
    bool is_rejected_or_duplicate(const ReplicaUpdate& update);
    std::optional<MergeResult> apply_update(const ReplicaUpdate& update, UnixMs unix_now);
    bool follows_held_versions(const ReplicaUpdate& update, const VersionVector& base_versions) const;
    bool is_too_far_ahead(const ReplicatedEntry& entry, UnixMs unix_now) const;

    // Garbage collection (replica_collect.cpp).
    void collect_garbage_if_due(UnixMs unix_now);
    void collect_garbage(UnixMs unix_now);
    bool is_collectable(const std::string& writer, const KeyWrite& write, const ReplicatedEntry& entry,
                        UnixMs unix_now) const;
    void mark_collected(const std::string& key, bool key_removed);
    void remove_idle_writers(UnixMs unix_now);

    // Snapshots (replica_snapshot.cpp).
    void request_snapshot_if_needed(const ReplicaMessage& message, Time now, Outgoing& out);
    ReplicaMessage snapshot_page(const std::string& cursor) const;
    std::vector<ReplicaUpdate> snapshot_updates(const std::string& key, const ReplicatedEntry& entry) const;
    void on_snapshot_page(const ReplicaMessage& page, Time now, UnixMs unix_now, Outgoing& out);
    bool add_page(const ReplicaMessage& page, UnixMs unix_now);
    void install_snapshot(const SnapshotTransfer& snapshot);
    std::set<std::string> merge_snapshot(const SnapshotTransfer& snapshot);
    void remove_writes_missing_in_snapshot(const SnapshotTransfer& snapshot);
    void raise_versions(const VersionVector& versions);
    void record_snapshot_versions(const SnapshotTransfer& snapshot, const std::set<std::string>& partial);
    void remove_log_items_without_entry(const VersionVector& collected_versions);

    std::string name_;
    std::string address_;
    std::string writer_;
    ReplicaSettings settings_;
    std::mt19937_64 random_;
    Entries entries_;
    WriterLogs writer_logs_;
    ReplicaDigest digest_{};
    HybridClock clock_;
    Time next_exchange_;
    Time fast_exchanges_until_{};
    bool change_merged_ = false;
    UnixMs next_collection_ = 0;
    std::vector<ReplicaUpdate> pending_gossip_;
    std::optional<SnapshotTransfer> snapshot_;
    VersionVector heard_versions_;
    UnsavedChanges unsaved_;
    std::set<std::string> touched_keys_;
    std::uint64_t revision_ = 1;
    ReplicaCounters counters_;
};

}  // namespace silverrail::cluster

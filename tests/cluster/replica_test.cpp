// The replicated state: merging of copies, which versions count as held, replays, malformed updates and
// snapshots; then a model check over many seeds (src/lab/replication_simulation).
#include "cluster/replicated_state/replica.h"

#include <algorithm>
#include <cstdio>

#include "../silverrail/check.h"
#include "lab/replication_simulation.h"

using namespace silverrail;
using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

Replica make_replica(const std::string& name, const ReplicaSettings& settings = {}) {
    return Replica{name, name, name + "@1", settings, 7, 0ms};
}

// One exchange started by `a`; every message is delivered at once.
void exchange(Replica& a, Replica& b, UnixMs unix_now = kNow) {
    static Time at{0};
    at += 10'000ms;  // an exchange is due
    std::vector<OutgoingReplicaMessage> to_b;
    for (auto& s : a.tick(at, unix_now, {"b"}))
        if (s.message.kind == ReplicaMessage::Kind::digest)
            to_b.push_back(std::move(s));
    for (int round_trips = 0; !to_b.empty() && round_trips < 50; ++round_trips) {
        std::vector<OutgoingReplicaMessage> to_a;
        for (const auto& s : to_b)
            for (auto& r : b.receive(s.message, at, unix_now))
                to_a.push_back(std::move(r));
        to_b.clear();
        for (const auto& s : to_a)
            for (auto& r : a.receive(s.message, at, unix_now))
                to_b.push_back(std::move(r));
    }
}

KeyWrite set(std::uint64_t n, HybridTimestamp timestamp, std::string value = "") {
    return {n, 0, timestamp, std::move(value)};
}
KeyWrite cleared(std::uint64_t n) {
    return {n, n, 0, {}};
}

struct JoinCase {
    const char* description;
    ReplicatedEntry a, b;
    bool is_set;
    const char* value;
};

std::vector<JoinCase> join_cases() {
    return {
        {"set in one copy, absent in the other", {{{"a", set(1, 10, "x")}}, 10}, {{}, 0}, true, "x"},
        {"set, then cleared by a router that saw the set",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"a", cleared(1)}}, 20},
         false,
         ""},
        {"set again after the clear", {{{"a", set(2, 30, "y")}}, 30}, {{{"a", cleared(1)}}, 20}, true, "y"},
        {"set by another writer, not seen by the clear",
         {{{"a", cleared(1)}}, 50},
         {{{"a", set(1, 10, "x")}, {"b", set(1, 20, "z")}}, 20},
         true,
         "z"},
        {"a clear with a later timestamp does not undo a set that it had not seen",
         {{{"a", cleared(4)}}, 1'000'000},
         {{{"b", set(9, 20, "z")}}, 20},
         true,
         "z"},
        {"two concurrent sets: the later timestamp wins",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"b", set(1, 11, "z")}}, 11},
         true,
         "z"},
        {"equal timestamps: the writer that sorts last wins",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"b", set(1, 10, "z")}}, 10},
         true,
         "z"},
        {"two clears", {{{"a", cleared(1)}}, 20}, {{{"a", cleared(2)}}, 15}, false, ""},
    };
}

// Joined in both orders and with itself, the result is the same.
void join_of_two_copies_is_as_expected_in_both_orders() {
    for (const auto& c : join_cases()) {
        const auto ab = join(c.a, c.b);
        const auto ba = join(c.b, c.a);
        const auto* winner = ab.winner();
        if (!(ab == ba) || !(join(ab, ab) == ab) || !(join(ab, c.a) == ab) || ab.is_set() != c.is_set ||
            (winner && winner->value != c.value)) {
            std::fprintf(stderr, "%s\n", c.description);
            CHECK(false);
        }
    }
}

void join_is_associative() {
    const auto cases = join_cases();
    for (const auto& x : cases)
        for (const auto& y : cases)
            CHECK(join(join(x.a, x.b), y.a) == join(x.a, join(x.b, y.a)));
}

// The routers' clocks differ by 10 s.
void a_clear_undoes_only_the_sets_it_has_seen() {
    auto a = make_replica("a"), b = make_replica("b");
    CHECK(a.set("ban/x", "", kNow));
    exchange(a, b);
    CHECK(b.is_set("ban/x"));
    // Concurrently, a removes the ban with its clock 5 s ahead and b bans again with its clock 5 s behind.
    CHECK(a.clear("ban/x", kNow + 5'000));
    CHECK(b.set("ban/x", "", kNow - 5'000));
    CHECK(!a.is_set("ban/x") && b.is_set("ban/x"));
    exchange(a, b);
    CHECK(a.is_set("ban/x") && b.is_set("ban/x"));
    // Both have seen the ban; once one removes it, it is gone on both.
    CHECK(a.clear("ban/x", kNow));
    exchange(b, a);
    CHECK(!a.is_set("ban/x") && !b.is_set("ban/x"));
    CHECK(a.digest() == b.digest() && a.versions() == b.versions());
}

ReplicaUpdate update(const std::string& writer, std::uint64_t number, const std::string& key, UnixMs at) {
    const auto timestamp = hybrid_timestamp(at);
    return {writer, number, key, {{{writer, set(number, timestamp, "v")}}, timestamp}};
}

ReplicaMessage delta(std::vector<ReplicaUpdate> updates, VersionVector base_versions) {
    ReplicaMessage message;
    message.kind = ReplicaMessage::Kind::delta_exchange;
    message.sender = message.sender_address = std::string(1, 'x');
    message.updates = std::move(updates);
    message.base_versions = std::move(base_versions);
    return message;
}

// The replica "a", holding the first change of the writer "x@1".
Replica replica_with_first_change() {
    auto replica = make_replica("a");
    replica.receive(delta({update("x@1", 1, "k1", kNow)}, {{"x@1", 0}}), 0ms, kNow);
    CHECK(replica.is_set("k1") && replica.versions().at("x@1") == 1);
    return replica;
}

void a_repeated_update_is_a_duplicate() {
    auto replica = replica_with_first_change();
    replica.receive(delta({update("x@1", 1, "k1", kNow)}, {{"x@1", 0}}), 0ms, kNow);
    CHECK(replica.counters().duplicates == 1 && replica.counters().applied == 1);
}

void an_update_after_a_gap_is_applied_but_its_version_is_not_held() {
    auto replica = replica_with_first_change();
    replica.receive(delta({update("x@1", 5, "k5", kNow)}, {{"x@1", 4}}), 0ms, kNow);
    CHECK(replica.is_set("k5") && replica.versions().at("x@1") == 1);
}

void an_update_from_the_future_is_applied_once_the_clock_has_caught_up() {
    auto replica = replica_with_first_change();
    replica.receive(delta({update("x@1", 2, "k2", kNow + 60'000)}, {{"x@1", 1}}), 0ms, kNow);
    CHECK(!replica.is_set("k2") && replica.counters().ahead == 1 && replica.versions().at("x@1") == 1);
    replica.receive(delta({update("x@1", 2, "k2", kNow + 60'000)}, {{"x@1", 1}}), 0ms, kNow + 55'000);
    CHECK(replica.is_set("k2") && replica.versions().at("x@1") == 2);
}

std::vector<ReplicaUpdate> malformed_updates() {
    auto long_key = update("x@1", 4, std::string(kMaxKeyLength + 1, 'k'), kNow);
    auto long_value = update("x@1", 4, "k4", kNow);
    long_value.entry.writes.at("x@1").value = std::string(kMaxValueLength + 1, 'v');
    auto no_writer = update("", 4, "k4", kNow);
    auto no_version = update("x@1", 0, "k4", kNow);
    auto write_after_last_change = update("x@1", 4, "k4", kNow);
    write_after_last_change.entry.writes.at("x@1").timestamp += 1;
    auto too_many_writes = update("x@1", 4, "k4", kNow);
    for (std::size_t i = 0; i <= kMaxWrites; ++i)
        too_many_writes.entry.writes[std::string{"o"}.append(std::to_string(i))] = set(1, 1);
    return {long_key, long_value, no_writer, no_version, write_after_last_change, too_many_writes};
}

void a_message_with_a_malformed_update_is_rejected_whole() {
    auto replica = replica_with_first_change();
    const auto good = update("x@1", 2, "k3", kNow);
    std::uint64_t rejected = replica.counters().rejected;
    for (const auto& bad : malformed_updates()) {
        replica.receive(delta({good, bad}, {{"x@1", 1}}), 0ms, kNow);
        CHECK(replica.counters().rejected == ++rejected && !replica.is_set("k3") && !replica.is_set("k4"));
    }
}

void a_message_of_another_channel_or_from_itself_is_rejected() {
    auto replica = replica_with_first_change();
    const auto good = update("x@1", 2, "k3", kNow);
    auto other_channel = delta({good}, {{"x@1", 1}});
    other_channel.channel = 3;
    replica.receive(other_channel, 0ms, kNow);
    auto from_itself = delta({good}, {{"x@1", 1}});
    from_itself.sender = "a";
    replica.receive(from_itself, 0ms, kNow);
    CHECK(replica.counters().rejected == 2 && !replica.is_set("k3"));
}

void a_full_replica_takes_no_new_key() {
    ReplicaSettings small;
    small.max_entries = 2;
    auto full = make_replica("a", small);
    full.receive(
        delta({update("x@1", 1, "k1", kNow), update("x@1", 2, "k2", kNow), update("x@1", 3, "k3", kNow)},
              {{"x@1", 0}}),
        0ms, kNow);
    CHECK(full.entries().size() == 2 && full.versions().at("x@1") == 2 && full.counters().rejected == 1);
    CHECK(!full.set("k9", "", kNow));
}

// A router that was away for longer than tombstones are kept fetches a snapshot.
void a_collected_entry_is_not_restored_by_a_replay_or_a_returning_router() {
    ReplicaSettings settings;
    settings.tombstone_retention = 1'000;
    auto a = make_replica("a", settings), b = make_replica("b", settings), away = make_replica("c", settings);
    CHECK(a.set("ban/x", "", kNow) && a.set("ban/y", "", kNow));
    exchange(a, b);
    exchange(a, away);
    CHECK(away.is_set("ban/x"));
    CHECK(b.clear("ban/x", kNow));
    exchange(b, a);
    const auto later = kNow + 100'000;
    a.tick(200'000ms, later, {});
    b.tick(200'000ms, later, {});
    CHECK(!a.entries().contains("ban/x") && a.counters().collected == 1);
    a.receive(delta({update("a@1", 1, "ban/x", kNow)}, {{"a@1", 0}}), 200'000ms, later);
    CHECK(!a.is_set("ban/x"));
    CHECK(away.set("ban/z", "", later));  // its own change, made while away
    exchange(away, a, later);
    exchange(away, a, later);
    CHECK(away.counters().snapshots == 1);
    CHECK(!away.is_set("ban/x") && away.is_set("ban/y") && away.is_set("ban/z"));
    CHECK(a.is_set("ban/z") && a.digest() == away.digest());
    // A router that was away for a shorter time fetches updates and no snapshot.
    CHECK(a.set("ban/w", "", later));
    exchange(away, a, later);
    CHECK(away.is_set("ban/w") && away.counters().snapshots == 1);
}

// So a reader that reads the entries again only when the revision has changed misses no change.
void the_revision_changes_whenever_a_value_does() {
    ReplicaSettings with_retention;
    with_retention.value_retention = 60'000;
    auto a = make_replica("a", with_retention), b = make_replica("b", with_retention);
    const auto values = [](const Replica& r) {
        std::map<std::string, std::string> out;
        for (const auto& [key, entry] : r.entries())
            if (const auto* write = entry.winner())
                out.emplace(key, write->value);
        return out;
    };
    auto unix_now = kNow;
    std::size_t changes = 0;
    auto revision = b.revision();
    auto seen = values(b);
    const auto check_revision = [&] {
        if (b.revision() == revision) {
            CHECK(values(b) == seen);
            return;
        }
        changes += values(b) != seen ? 1 : 0;
        seen = values(b);
        revision = b.revision();
    };
    CHECK(a.set("k", "1", unix_now) && a.set("l", "1", unix_now));
    exchange(a, b, unix_now);
    check_revision();
    CHECK(a.set("k", "2", unix_now + 1) && b.set("m", "1", unix_now + 1));
    check_revision();
    exchange(a, b, unix_now + 2);
    check_revision();
    CHECK(a.clear("l", unix_now + 3));
    exchange(a, b, unix_now + 3);
    check_revision();
    // All values age out.
    for (int s = 1; s < 200; ++s) {
        (void)b.tick(Time{s * 1000}, unix_now + s * 1000, {});
        check_revision();
    }
    CHECK(changes >= 5 && seen.empty() && values(b).empty());
    auto again = make_replica("a");
    const auto before = again.revision();
    again.restore(a.entries(), a.writer_logs());
    CHECK(again.revision() != before);
}

void a_restored_replica_is_equal_and_continues_its_versions() {
    auto a = make_replica("a"), b = make_replica("b");
    for (int i = 0; i < 20; ++i)
        CHECK(a.set(std::string{"k"}.append(std::to_string(i % 7)), std::to_string(i), kNow));
    CHECK(a.clear("k3", kNow));
    const auto changes = a.take_unsaved_changes();
    CHECK(changes.keys.size() == 7 && changes.writers.contains("a@1") && !changes.everything);
    auto again = make_replica("a");
    again.restore(a.entries(), a.writer_logs());
    CHECK(again.digest() == a.digest() && again.take_touched_keys().size() == 7);
    CHECK(again.set("k9", "", kNow) && again.versions().at("a@1") == 22);
    exchange(again, b);
    CHECK(b.is_set("k9") && !b.is_set("k3") && *b.value("k6") == "13" && *b.value("k5") == "19");
}

void all_replicas_converge_over_a_thousand_seeds() {
    std::int64_t worst = 0;
    std::uint64_t snapshots = 0, changes = 0;
    const struct {
        std::uint64_t first, seeds;
        UnixMs retention;
        bool reports;
    } kRuns[] = {{1, 600, 100'000, false}, {2'001, 250, 8'000, false}, {3'001, 150, 8'000, true}};
    for (const auto& run : kRuns)
        for (std::uint64_t seed = run.first; seed < run.first + run.seeds; ++seed) {
            lab::ReplicationCheck check;
            check.seed = seed;
            check.tombstone_retention = run.retention;
            check.reports = run.reports;
            const auto verdict = lab::check_replication(check);
            if (!verdict.violation.empty()) {
                std::fprintf(stderr, "seed %llu, tombstone retention %lld ms: %s\n",
                             static_cast<unsigned long long>(seed), static_cast<long long>(run.retention),
                             verdict.violation.c_str());
                CHECK(false);
            }
            worst = std::max(worst, verdict.converged_ms);
            snapshots += verdict.snapshots;
            changes += verdict.changes;
        }
    CHECK(snapshots > 0 && changes > 10'000);
    std::printf(
        "1000 seeds, %llu changes, %llu snapshots: all replicas converged, the slowest after %lld ms\n",
        static_cast<unsigned long long>(changes), static_cast<unsigned long long>(snapshots),
        static_cast<long long>(worst));
}

}  // namespace

int main() {
    join_of_two_copies_is_as_expected_in_both_orders();
    join_is_associative();
    a_clear_undoes_only_the_sets_it_has_seen();
    a_repeated_update_is_a_duplicate();
    an_update_after_a_gap_is_applied_but_its_version_is_not_held();
    an_update_from_the_future_is_applied_once_the_clock_has_caught_up();
    a_message_with_a_malformed_update_is_rejected_whole();
    a_message_of_another_channel_or_from_itself_is_rejected();
    a_full_replica_takes_no_new_key();
    a_collected_entry_is_not_restored_by_a_replay_or_a_returning_router();
    a_restored_replica_is_equal_and_continues_its_versions();
    the_revision_changes_whenever_a_value_does();
    all_replicas_converge_over_a_thousand_seeds();
    std::puts(
        "replica: the state is the same in every order of delivery, no acknowledged change is lost, and no "
        "cleared value is restored");
}

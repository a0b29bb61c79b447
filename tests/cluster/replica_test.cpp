// The replicated state: the rule for copies that differ by a table, what an origin's numbers vouch for,
// replays and bad updates, full copies; then the model check over seeds (src/lab/replica_sim).
#include "cluster/replica.h"

#include <algorithm>
#include <cstdio>

#include "../silverrail/check.h"
#include "lab/replica_sim.h"

using namespace silverrail;
using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

Replica replica(const std::string& name, ReplicaSettings settings = {}) {
    return Replica{name, name, name + "@1", settings, 7, 0ms};
}

// One exchange started by `a`, every message delivered at once.
void exchange(Replica& a, Replica& b, UnixMs unix_now = kNow) {
    static Time at{0};
    at += 10'000ms;  // a round is due
    std::vector<ReplicaSend> to_b;
    for (auto& s : a.tick(at, unix_now, {"b"}))
        if (s.message.kind == ReplicaMessage::Kind::sum)
            to_b.push_back(std::move(s));
    for (int hops = 0; !to_b.empty() && hops < 50; ++hops) {
        std::vector<ReplicaSend> to_a;
        for (const auto& s : to_b)
            for (auto& r : b.receive(s.message, at, unix_now))
                to_a.push_back(std::move(r));
        to_b.clear();
        for (const auto& s : to_a)
            for (auto& r : a.receive(s.message, at, unix_now))
                to_b.push_back(std::move(r));
    }
}

Mark set(std::uint64_t n, Stamp stamp, std::string value = "") {
    return {n, 0, stamp, std::move(value)};
}
Mark cleared(std::uint64_t n) {
    return {n, n, 0, {}};
}

// The join of two copies, both ways round and with itself.
void check_join() {
    const struct {
        const char* what;
        Entry a, b;
        bool in_force;
        const char* value;
    } kCases[] = {
        {"set and nothing", {{{"a", set(1, 10, "x")}}, 10}, {{}, 0}, true, "x"},
        {"set, and cleared by who saw it",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"a", cleared(1)}}, 20},
         false,
         ""},
        {"set again after the clear", {{{"a", set(2, 30, "y")}}, 30}, {{{"a", cleared(1)}}, 20}, true, "y"},
        {"set elsewhere, unseen by the clear",
         {{{"a", cleared(1)}}, 50},
         {{{"a", set(1, 10, "x")}, {"b", set(1, 20, "z")}}, 20},
         true,
         "z"},
        {"the later clear does not undo what it had not seen, whatever its clock said",
         {{{"a", cleared(4)}}, 1'000'000},
         {{{"b", set(9, 20, "z")}}, 20},
         true,
         "z"},
        {"two sets at once: the later stamp counts",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"b", set(1, 11, "z")}}, 11},
         true,
         "z"},
        {"the same stamp: the later name counts",
         {{{"a", set(1, 10, "x")}}, 10},
         {{{"b", set(1, 10, "z")}}, 10},
         true,
         "z"},
        {"two clears", {{{"a", cleared(1)}}, 20}, {{{"a", cleared(2)}}, 15}, false, ""},
    };
    for (const auto& c : kCases) {
        const auto ab = join(c.a, c.b), ba = join(c.b, c.a);
        const auto* w = ab.winner();
        if (!(ab == ba) || !(join(ab, ab) == ab) || !(join(ab, c.a) == ab) || ab.in_force() != c.in_force ||
            (w && w->value != c.value)) {
            std::fprintf(stderr, "%s\n", c.what);
            CHECK(false);
        }
    }
    // Associative: every grouping of three copies ends in one.
    for (const auto& x : kCases)
        for (const auto& y : kCases)
            CHECK(join(join(x.a, x.b), y.a) == join(x.a, join(x.b, y.a)));
}

// Concurrent bans and unbans, clocks seconds apart: the ban that an unban had not seen holds.
void check_ban_and_unban() {
    auto a = replica("a"), b = replica("b");
    CHECK(a.set("ban/x", "", kNow));
    exchange(a, b);
    CHECK(b.in_force("ban/x"));
    // Apart: a takes it back by a clock five seconds ahead, b bans again by one five behind.
    CHECK(a.clear("ban/x", kNow + 5'000));
    CHECK(b.set("ban/x", "", kNow - 5'000));
    CHECK(!a.in_force("ban/x") && b.in_force("ban/x"));
    exchange(a, b);
    CHECK(a.in_force("ban/x") && b.in_force("ban/x"));
    // Seen by both, one takes it back: gone from both.
    CHECK(a.clear("ban/x", kNow));
    exchange(b, a);
    CHECK(!a.in_force("ban/x") && !b.in_force("ban/x"));
    CHECK(a.summary() == b.summary() && a.numbers() == b.numbers());
}

Update update(const std::string& origin, std::uint64_t number, const std::string& key, UnixMs at) {
    const auto stamp = static_cast<Stamp>(at) << 16;
    return {origin, number, key, {{{origin, set(number, stamp, "v")}}, stamp}};
}

ReplicaMessage give(std::vector<Update> updates, Numbers after) {
    ReplicaMessage m;
    m.kind = ReplicaMessage::Kind::give;
    m.from = m.from_address = std::string(1, 'x');
    m.updates = std::move(updates);
    m.after = std::move(after);
    return m;
}

// What is not applied, and what is applied without being vouched for.
void check_bad_and_stale() {
    auto a = replica("a");
    a.receive(give({update("x@1", 1, "k1", kNow)}, {{"x@1", 0}}), 0ms, kNow);
    CHECK(a.in_force("k1") && a.numbers().at("x@1") == 1);
    // The same again: a duplicate.
    a.receive(give({update("x@1", 1, "k1", kNow)}, {{"x@1", 0}}), 0ms, kNow);
    CHECK(a.counts().duplicates == 1 && a.counts().applied == 1);
    // After a gap: applied, as it can't hurt, but not vouched for.
    a.receive(give({update("x@1", 5, "k5", kNow)}, {{"x@1", 4}}), 0ms, kNow);
    CHECK(a.in_force("k5") && a.numbers().at("x@1") == 1);
    // From the future by more than clocks differ: not applied; taken once our clock is there.
    a.receive(give({update("x@1", 2, "k2", kNow + 60'000)}, {{"x@1", 1}}), 0ms, kNow);
    CHECK(!a.in_force("k2") && a.counts().ahead == 1 && a.numbers().at("x@1") == 1);
    a.receive(give({update("x@1", 2, "k2", kNow + 60'000)}, {{"x@1", 1}}), 0ms, kNow + 55'000);
    CHECK(a.in_force("k2") && a.numbers().at("x@1") == 2);
    // Malformed: the whole message is refused, the good update in it with it.
    const auto good = update("x@1", 3, "k3", kNow);
    auto long_key = update("x@1", 4, std::string(kLongestKey + 1, 'k'), kNow);
    auto long_value = update("x@1", 4, "k4", kNow);
    long_value.entry.marks.at("x@1").value = std::string(kLongestValue + 1, 'v');
    auto no_origin = update("", 4, "k4", kNow);
    auto no_number = update("x@1", 0, "k4", kNow);
    auto later_mark = update("x@1", 4, "k4", kNow);
    later_mark.entry.marks.at("x@1").stamp += 1;  // a mark after the entry's last change
    auto many = update("x@1", 4, "k4", kNow);
    for (std::size_t i = 0; i <= kMostMarks; ++i)
        many.entry.marks[std::string{"o"}.append(std::to_string(i))] = set(1, 1);
    std::uint64_t refused = a.counts().refused;
    for (const auto& bad : {long_key, long_value, no_origin, no_number, later_mark, many}) {
        a.receive(give({good, bad}, {{"x@1", 2}}), 0ms, kNow);
        CHECK(a.counts().refused == ++refused && !a.in_force("k3") && !a.in_force("k4"));
    }
    // Another channel's message, and one from ourselves.
    auto other = give({good}, {{"x@1", 2}});
    other.channel = 3;
    a.receive(other, 0ms, kNow);
    auto own = give({good}, {{"x@1", 2}});
    own.from = "a";
    a.receive(own, 0ms, kNow);
    CHECK(a.counts().refused == refused + 2 && !a.in_force("k3"));
    // Bounded: what has no room is refused and not vouched for.
    ReplicaSettings small;
    small.most_entries = 2;
    auto full = replica("a", small);
    full.receive(
        give({update("x@1", 1, "k1", kNow), update("x@1", 2, "k2", kNow), update("x@1", 3, "k3", kNow)},
             {{"x@1", 0}}),
        0ms, kNow);
    CHECK(full.entries().size() == 2 && full.numbers().at("x@1") == 2 && full.counts().refused == 1);
    CHECK(!full.set("k9", "", kNow));
}

// A replay of what was cleared and forgotten does not bring it back; who was away takes a full copy.
void check_forgetting() {
    ReplicaSettings settings;
    settings.tombstone_keep = 1'000;
    auto a = replica("a", settings), b = replica("b", settings), away = replica("c", settings);
    CHECK(a.set("ban/x", "", kNow) && a.set("ban/y", "", kNow));
    exchange(a, b);
    exchange(a, away);
    CHECK(away.in_force("ban/x"));
    CHECK(b.clear("ban/x", kNow));
    exchange(b, a);
    const auto later = kNow + 100'000;
    a.tick(200'000ms, later, {});
    b.tick(200'000ms, later, {});
    CHECK(!a.entries().contains("ban/x") && a.counts().forgotten == 1);
    a.receive(give({update("a@1", 1, "ban/x", kNow)}, {{"a@1", 0}}), 200'000ms, later);
    CHECK(!a.in_force("ban/x"));
    CHECK(away.set("ban/z", "", later));  // its own, said while away
    exchange(away, a, later);
    exchange(away, a, later);
    CHECK(away.counts().full_copies == 1);
    CHECK(!away.in_force("ban/x") && away.in_force("ban/y") && away.in_force("ban/z"));
    CHECK(a.in_force("ban/z") && a.summary() == away.summary());
    // Who was away for less fetches updates, no copy.
    CHECK(a.set("ban/w", "", later));
    exchange(away, a, later);
    CHECK(away.in_force("ban/w") && away.counts().full_copies == 1);
}

// Whoever looks through the entries again only when the revision is another one misses nothing.
void check_revision() {
    ReplicaSettings ageing;
    ageing.value_keep = 60'000;
    auto a = replica("a", ageing), b = replica("b", ageing);
    const auto values = [](const Replica& r) {
        std::map<std::string, std::string> out;
        for (const auto& [key, entry] : r.entries())
            if (const auto* mark = entry.winner())
                out.emplace(key, mark->value);
        return out;
    };
    auto unix_now = kNow;
    std::size_t changes = 0;
    auto revision = b.revision();
    auto seen = values(b);
    const auto look = [&] {
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
    look();
    CHECK(a.set("k", "2", unix_now + 1) && b.set("m", "1", unix_now + 1));
    look();
    exchange(a, b, unix_now + 2);
    look();
    CHECK(a.clear("l", unix_now + 3));
    exchange(a, b, unix_now + 3);
    look();
    // All of it ages.
    for (int s = 1; s < 200; ++s) {
        (void)b.tick(Time{s * 1000}, unix_now + s * 1000, {});
        look();
    }
    CHECK(changes >= 5 && seen.empty() && values(b).empty());
    auto again = replica("a");
    const auto before = again.revision();
    again.restore(a.entries(), a.origins());
    CHECK(again.revision() != before);
}

// What is stored and taken up again is the same replica.
void check_restore() {
    auto a = replica("a"), b = replica("b");
    for (int i = 0; i < 20; ++i)
        CHECK(a.set(std::string{"k"}.append(std::to_string(i % 7)), std::to_string(i), kNow));
    CHECK(a.clear("k3", kNow));
    const auto changes = a.take_changes();
    CHECK(changes.keys.size() == 7 && changes.origins.contains("a@1") && !changes.all);
    auto again = replica("a");
    again.restore(a.entries(), a.origins());
    CHECK(again.summary() == a.summary() && again.take_touched().size() == 7);
    CHECK(again.set("k9", "", kNow) && again.numbers().at("a@1") == 22);  // numbers go on
    exchange(again, b);
    CHECK(b.in_force("k9") && !b.in_force("k3") && *b.value("k6") == "13" && *b.value("k5") == "19");
}

void check_model() {
    std::int64_t worst = 0;
    std::uint64_t full = 0, changes = 0;
    const struct {
        std::uint64_t first, seeds;
        UnixMs keep;
        bool learned;
    } kRuns[] = {{1, 600, 100'000, false}, {2'001, 250, 8'000, false}, {3'001, 150, 8'000, true}};
    for (const auto& run : kRuns)
        for (std::uint64_t seed = run.first; seed < run.first + run.seeds; ++seed) {
            lab::ReplicaCheck c;
            c.seed = seed;
            c.tombstone_keep = run.keep;
            c.learned = run.learned;
            const auto v = lab::check_replicas(c);
            if (!v.wrong.empty()) {
                std::fprintf(stderr, "seed %llu, kept %lld ms: %s\n", static_cast<unsigned long long>(seed),
                             static_cast<long long>(run.keep), v.wrong.c_str());
                CHECK(false);
            }
            worst = std::max(worst, v.converged_ms);
            full += v.full_copies;
            changes += v.changes;
        }
    CHECK(full > 0 && changes > 10'000);
    std::printf("1000 seeds, %llu changes, %llu full copies: all copies equal, worst after %lld ms\n",
                static_cast<unsigned long long>(changes), static_cast<unsigned long long>(full),
                static_cast<long long>(worst));
}

}  // namespace

int main() {
    check_join();
    check_ban_and_unban();
    check_bad_and_stale();
    check_forgetting();
    check_restore();
    check_revision();
    check_model();
    std::puts(
        "replica: one state in every order of delivery, nothing acknowledged lost, nothing undone comes "
        "back");
}

// What follows from records, without files: stories, selections, sums, clock offsets, retention, the trigger.
#include <cmath>
#include <cstdio>

#include "records.h"
#include "state/failure_trigger.h"
#include "state/retention.h"
#include "state/selection.h"
#include "state/skew.h"
#include "state/stories.h"
#include "state/tally.h"

using namespace silverrail;
using namespace silverrail::state;

namespace {

constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kSecond = 1'000'000'000;

Taken taken(std::uint64_t call, std::uint64_t trace = 1) {
    Taken t;
    t.call = call;
    t.trace_id = trace;
    return t;
}
Sent sent(std::uint64_t call, std::uint64_t attempt, const char* server) {
    Sent s;
    s.call = call;
    s.attempt = attempt;
    s.target = server;
    s.fills = true;
    s.source = "hub";
    return s;
}
Ended ended(std::uint64_t call, std::uint64_t attempt, int attempt_status, int cache_status = 0) {
    Ended e;
    e.call = call;
    e.attempt = attempt;
    e.attempt_status = static_cast<std::uint8_t>(attempt_status);
    e.cache_status = static_cast<std::uint8_t>(cache_status);
    return e;
}
Answered answered(std::uint64_t call, int kind) {
    Answered a;
    a.call = call;
    a.kind = static_cast<std::uint8_t>(kind);
    return a;
}

void check_stories() {
    std::vector<Story> over;
    Stories stories{[&](const Story& s) {
        over.push_back(s);
    }};
    const auto take = [&](std::int64_t at, Body body, bool held = false) {
        stories.take({at, 0, body}, held);
    };
    // Two attempts; the answer comes while one is out; the call is over with the last of them.
    take(100, taken(1));
    take(100, sent(1, 0, "a"));
    take(150, sent(1, 1, "b"));
    take(160, ended(1, 1, 0, 2));
    take(160, answered(1, 0));
    CHECK(over.empty());
    take(170, ended(1, 0, 6));
    CHECK(over.size() == 1 && over[0].took() == 60 && over[0].attempts.size() == 2 && over[0].answered());
    CHECK(over[0].attempts[1].target.text() == "b" && over[0].attempts[1].cache_status == 2);
    // Turned away: no number, no attempts.
    take(200, taken(0, 9));
    take(201, answered(0, 3));
    CHECK(over.size() == 2 && over[1].turned_away() && over[1].taken.trace_id == 9);
    // The router restarts and counts from 1 again: the open one with that number was another call.
    take(300, taken(2, 20));
    take(400, taken(2, 21));
    take(410, answered(2, 4));
    CHECK(over.size() == 4 && over[2].closed_at == kNoTime && over[2].taken.trace_id == 20);
    CHECK(over[3].taken.trace_id == 21 && over[3].kind == 4);
    // Its guard answered, then the module was told: that is an answer, no abandonment.
    take(500, taken(3));
    take(500, sent(3, 0, "a"));
    take(510, answered(3, 4));
    take(510, ClientClosed{3});
    take(511, ended(3, 0, 6));
    CHECK(over.size() == 5 && over[4].answered());
    // An end whose begin was not seen, and one that never ends.
    take(600, answered(77, 0));
    take(610, taken(5));
    stories.end();
    CHECK(over.size() == 7 && over[5].taken_at == kNoTime && over[6].closed_at == kNoTime);

    Selection all;
    CHECK(all.all_calls() && all.wants(over[0], "pages"));
    const struct {
        Selection selection;
        bool wanted;
    } kCases[] = {
        {{.classes = {"pages"}}, true},
        {{.classes = {"lodge"}}, false},
        {{.outcomes = {"served"}}, true},
        {{.outcomes = {"refused", "cancelled"}}, true},
        {{.outcomes = {"failed"}}, false},
        {{.servers = {"b"}}, true},
        {{.servers = {"hub"}}, true},
        {{.servers = {"c"}}, false},
        {{.traces = {"0000000000000001"}}, true},
        {{.traces = {"1"}}, false},
        {{.objects = {0}}, true},
        {{.objects = {5}}, false},
    };
    for (const auto& c : kCases)
        CHECK(c.selection.wants(over[0], "pages") == c.wanted);
    const Selection known{.outcomes = {"miss", "open"}};
    const Selection unknown{.outcomes = {"served", "nonsense"}};
    CHECK(!known.unknown_outcome() && *unknown.unknown_outcome() == "nonsense");

    Tally tally{[](auto, auto, auto) {
        return std::int64_t{50};
    }};
    for (const Story& s : over)
        tally.take(s, "pages");
    const ClassTally& c = tally.classes().at("pages");
    CHECK(c.calls == 6 && c.outcomes[0] == 2 && c.outcomes[3] == 1 && c.outcomes[4] == 2 &&
          c.outcomes[6] == 2);
    CHECK(c.outcomes[7] == 1 && c.late == 1 && c.fills.at("hub") == 1 && c.attempts[2] == 1);
    CHECK(c.refusals.at("at the door") == 1 && c.refusals.at("cancelled") == 1 &&
          c.refusals.at("no attempt") == 1);
}

void check_times() {
    Times t;
    CHECK(t.quantile(0.5) == 0);
    for (int i = 1; i <= 1000; ++i)
        t.add(i * kMs);
    for (const auto& [share, ms] : {std::pair{0.5, 500.0}, {0.9, 900.0}, {0.99, 990.0}, {1.0, 1000.0}})
        CHECK(std::abs(t.quantile(share) / ms - 1) < 0.016);
    t.add(std::int64_t{5'000'000} * kSecond);  // beyond the last bin: still the largest
    CHECK(t.quantile(1) > 4e9);
}

// Clocks 1 s apart that drift, with waits of 99 to 320 ms for each purge, some far too late, some never
// heard.
void check_skew() {
    std::mt19937_64 dice{5};
    const auto even = [&] {
        return static_cast<double>(dice() >> 11) * 0x1p-53;
    };
    const double ahead_ms[] = {0, 1000, -870};
    const double ppm[] = {0, 100, -60};
    Skew skew;
    for (int i = 0; i < 2000; ++i) {
        const auto t = static_cast<std::int64_t>(i * 1.7e9);
        for (std::uint32_t r = 0; r < 3; ++r) {
            if (dice() % 20 == 0)
                continue;
            double wait = 99e6 + 221e6 * even();
            if (dice() % 25 == 0)
                wait += 5e9 * even();  // after a reconnect
            const double true_time = static_cast<double>(t) + wait;
            skew.heard(r, static_cast<std::uint64_t>(i),
                       static_cast<std::int64_t>(true_time + ahead_ms[r] * 1e6 + true_time * ppm[r] / 1e6));
        }
    }
    CHECK(skew.best_reference());
    std::string why;
    for (const std::uint32_t r : {1u, 2u}) {
        const auto e = skew.estimate(r, 0, why);
        CHECK(e && e->from == SkewEstimate::From::purges && e->shared > 1500 && e->trimmed > 20);
        for (const double at : {0.0, 1700e9, 3400e9}) {
            const double wrong = -ahead_ms[r] * 1e6 - at * ppm[r] / 1e6;  // what has to be added
            const double found = static_cast<double>(e->correction_ns(static_cast<std::int64_t>(at)));
            CHECK(std::abs(found - wrong) < 20e6);
            CHECK(std::abs(found - wrong) < 3 * e->uncertainty_ns);
        }
        CHECK(std::abs(e->drift * 1e6 + ppm[r]) < 8);
    }
    CHECK(!skew.estimate(9, 0, why) && why.find("no purge") != std::string::npos);
    // Too little is shared: refused, with what is missing.
    Skew few;
    for (std::uint64_t i = 0; i < 7; ++i)
        for (const std::uint32_t r : {0u, 1u})
            few.heard(r, i, static_cast<std::int64_t>(i) * kSecond);
    CHECK(!few.estimate(1, 0, why) && why.starts_with("7 purges"));
    // Copies' ages stand in for purges.
    for (int i = 0; i < 30'000; ++i)
        for (const std::uint32_t r : {0u, 1u}) {
            const std::int64_t made = i * 20 * kMs;
            few.copied(r,
                       made + 20 * kMs + static_cast<std::int64_t>(even() * 90e6) + (r == 1 ? 700 * kMs : 0),
                       made);
        }
    const auto by_copies = few.estimate(1, 0, why);
    CHECK(by_copies && by_copies->from == SkewEstimate::From::copies);
    CHECK(std::abs(by_copies->offset_ns + 700e6) < 20e6);
    // However many events there are, it keeps a bounded number, the same ones of all.
    Skew many;
    for (std::uint64_t i = 0; i < 5 * Skew::kMostEvents; ++i)
        for (const std::uint32_t r : {0u, 1u})
            many.heard(r, i, static_cast<std::int64_t>(i) * kMs + r * 5 * kMs);
    const auto e = many.estimate(1, 0, why);
    CHECK(e && e->shared > 1000 && e->shared <= Skew::kMostEvents && std::abs(e->offset_ns + 5e6) < 1);
}

void check_in_force_bounds() {
    InForce f;
    for (std::uint64_t i = 1; i <= InForce::kMostCalls + 100; ++i)
        f.take({1, 0, taken(i)});
    CHECK(f.open_calls() == InForce::kMostCalls && f.given_up() == 100 && !f.call(0, 100) && f.call(0, 101));
    for (std::uint32_t s = 0; s < InForce::kMostSources + 5; ++s)
        f.take({1, s, List{}});
    CHECK(f.sources() == InForce::kMostSources);
    // Read back, it is the same.
    InForce again;
    f.each([&](const Record& r) { again.take(r); });
    CHECK(again.open_calls() == f.open_calls());
    // Purges go when no older copy can be left.
    InForce p;
    p.take({0, 0, Purge{}});
    p.take({InForce::kPurgeKept + 1, 0, Purge{}});
    int purges = 0;
    p.each([&](const Record& r) { purges += std::holds_alternative<Purge>(r.body); });
    CHECK(purges == 1);
    // A start wipes what the run before had.
    p.take({0, 0, Start{}});
    purges = 0;
    p.each([&](const Record& r) { purges += std::holds_alternative<Purge>(r.body); });
    CHECK(purges == 0);
}

void check_retention() {
    const Retention r{{.most_bytes = 100, .file_bytes = 40, .file_span_ns = 1000}};
    CHECK(!r.rotate(39, 999) && r.rotate(40, 0) && r.rotate(0, 1000));
    using Files = std::vector<Retention::File>;
    using Names = std::vector<std::string>;
    CHECK(r.give_up({}, 50).empty());
    CHECK(r.give_up(Files{{"b", 40}, {"a", 40}}, 20).empty());
    CHECK(r.give_up(Files{{"b", 40}, {"a", 40}}, 21) == Names{"a"});
    CHECK((r.give_up(Files{{"c", 40}, {"b", 40}, {"a", 40}}, 99) == Names{"a", "b", "c"}));
}

void check_trigger() {
    FailureTrigger never{{}};
    for (int i = 0; i < 1000; ++i)
        CHECK(!never.answered(true, i));
    FailureTrigger t{{.share = 0.2, .window_ns = 10 * kSecond, .least = 50, .hold_off_ns = 60 * kSecond}};
    int fired = 0;
    std::int64_t at = 0;
    const auto play = [&](int answers, int every) {
        for (int i = 0; i < answers; ++i, at += 20 * kMs)
            fired += t.answered(i % every == 0, at);
    };
    play(1000, 10);  // one in ten fails
    CHECK(fired == 0);
    play(500, 3);
    CHECK(fired == 1);  // and not again while it is held off
    play(2000, 3);
    CHECK(fired == 1);
    play(1000, 3);
    CHECK(fired == 2);
    at += 3600 * kSecond;  // a pause empties the window
    CHECK(!t.answered(true, at) && t.share() == 1);
}

}  // namespace

int main() {
    check_stories();
    check_times();
    check_skew();
    check_in_force_bounds();
    check_retention();
    check_trigger();
    std::puts("state: what records mean, and its bounds");
}

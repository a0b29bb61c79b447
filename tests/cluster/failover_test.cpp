// Failover: which decision is proposed for given health, overrides and decisions, who writes it and when, and
// how a decision changes the servers' weights. Then routers of two regions over one shared state, tick by
// tick.
#include "cluster/failover/failover.h"

#include <cmath>
#include <cstdio>

#include "../silverrail/check.h"
#include "cluster/failover/failover_codec.h"
#include "cluster/reports/report_publisher.h"

using namespace silverrail;
using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

constexpr UnixMs kNow = 1'800'000'000'000;

FailoverSettings settings() {
    FailoverSettings s;
    s.zones = {{"a", "east", 3}, {"b", "east", 3}, {"c", "west", 3}};
    return s;
}

// The replicated state and the members alive, seen by all routers alike.
struct SharedState {
    std::map<std::string, ReplicatedEntry> reports, state;
    std::map<std::string, std::string> alive;
    std::map<std::string, double> weights{{"a", 40}, {"b", 40}, {"c", 40}};
    UnixMs unix_now = kNow;
    std::uint64_t last_version = 0;

    SharedState() {
        for (const char* zone : {"a", "b", "c"})
            for (int i = 0; i < 3; ++i)
                alive[std::string{zone}.append(std::to_string(i))] = zone;
        for (const char* zone : {"a", "b", "c"})
            health(zone, 100);
    }
    void put(std::map<std::string, ReplicatedEntry>& in, const std::string& key, const std::string& writer,
             const std::string& value) {
        const auto timestamp = hybrid_timestamp(unix_now) | (last_version & 0xffff);
        ReplicatedEntry entry{{{writer, {++last_version, 0, timestamp, value}}}, timestamp};
        in[key] = entry;
    }
    void report(const std::string& router, int health, int warm = 100) {
        put(reports, report_key("zone/" + alive.at(router), router), router,
            encode(ZoneHealth{health, std::min(health, warm)}));
    }
    void health(const std::string& zone, int percent, int warm = 100) {
        for (const auto& [router, router_zone] : alive)
            if (router_zone == zone)
                report(router, percent, warm);
    }
    Failover::Input input(Time now, ZoneHealth own = {}) const {
        return {now, unix_now, own, &alive, &reports, &state, weights};
    }
};

std::string targets(const FailoverDecision& d) {
    auto encoded = encode(d);
    const auto at = encoded.find(' ');
    return at == std::string::npos ? "" : encoded.substr(at + 1);
}

void only_a_valid_decision_is_decoded() {
    const struct {
        const char* encoded;
        bool is_valid;
    } kCases[] = {{"1", true},           {"7 b=100", true},
                  {"7 b=40 c=60", true}, {"", false},
                  {"0 b=10", false},     {"x b=10", false},
                  {"7 b", false},        {"7 b=", false},
                  {"7 =10", false},      {"7 b=0", false},
                  {"7 b=101", false},    {"7 b=60 c=60", false},
                  {"7 b=-1", false},     {"7 b=1 b=2", false},
                  {"7 b=1x", false},     {"7 a=1 b=1 c=1 d=1", false},
                  {"-1 b=1", false},     {"99999999999999999999999", false}};
    for (const auto& c : kCases) {
        const auto d = decode_decision(c.encoded);
        if (d.has_value() != c.is_valid)
            std::fprintf(stderr, "encoded: %s\n", c.encoded);
        CHECK(d.has_value() == c.is_valid);
        if (d)
            CHECK(encode(*d) == c.encoded);
    }
}

// Such decisions exist after a partition.
void of_concurrent_decisions_the_highest_epoch_and_the_earliest_write_counts() {
    ReplicatedEntry e{
        {{"x@1", {1, 0, 20, "4 b=100"}}, {"y@1", {1, 0, 10, "4 c=100"}}, {"z@1", {1, 0, 30, "3"}}}, 30};
    CHECK(effective_decision(&e).epoch == 4 && effective_decision(&e).writer == "y@1" &&
          targets(effective_decision(&e)) == "c=100");
    e.writes["q@1"] = {2, 2, 0, ""};  // cleared
    e.writes["r@1"] = {1, 0, 5, "no decision"};
    CHECK(effective_decision(&e).writer == "y@1" && effective_decision(nullptr).epoch == 0);
}

void zone_health_follows_from_its_servers() {
    using Servers = std::vector<ZoneServer>;
    const auto server = [](double weight, bool outlier, bool banned = false, std::optional<bool> probed = {},
                           double warm = 1) {
        return ZoneServer{weight, outlier, banned, probed, warm};
    };
    const struct {
        Servers servers;
        bool drained;
        ZoneHealth health;
    } kCases[] = {
        {{}, false, {100, 100}},
        {{server(1, false), server(1, false)}, false, {100, 100}},
        {{server(1, true), server(1, false)}, false, {50, 50}},
        {{server(1, true), server(1, true)}, false, {0, 0}},
        {{server(1, false, true), server(1, false)}, false, {50, 50}},  // by an operator
        {{server(3, true), server(1, false)}, false, {25, 25}},         // by weight
        {{server(1, false), server(1, false), server(1, true)},
         false,
         {65, 65}},  // rounded down to a multiple of five
        {{server(1, false, false, false), server(1, false)}, false, {50, 50}},  // probed, does not connect
        {{server(1, true, false, true), server(1, false)}, false, {50, 50}},  // connects, but fails requests
        {{server(1, false), server(1, false, false, true)}, true, {50, 50}},  // only probes count
        {{server(1, true, false, true), server(1, false)}, true, {50, 50}},
        {{server(1, false, false, {}, 0.3), server(1, false)}, false, {100, 65}},  // healthy, but cold
        {{server(1, true, false, {}, 0.3), server(1, false)}, false, {50, 50}}};
    for (const auto& c : kCases)
        CHECK(measure_zone_health(c.servers, c.drained) == c.health);
}

void only_a_valid_health_report_is_decoded() {
    const struct {
        const char* encoded;
        std::optional<ZoneHealth> health;
    } kReports[] = {{"100 100", ZoneHealth{100, 100}},
                    {"0 0", ZoneHealth{0, 0}},
                    {"95 40", ZoneHealth{95, 40}},
                    {"", {}},
                    {"95", {}},
                    {"95 ", {}},
                    {" 95", {}},
                    {"95 101", {}},
                    {"-1 0", {}},
                    {"95 4x", {}},
                    {"9 4 0", {}}};
    for (const auto& c : kReports)
        CHECK(decode_zone_health(c.encoded) == c.health);
}

struct ProposalCase {
    const char* description;
    std::vector<std::pair<const char*, int>> health;         // by zone
    std::vector<std::pair<const char*, const char*>> state;  // key, value
    const char* expected_targets;                            // of zone a; null: no change is written
};

// The decision on zone a that follows from a constant state.
std::vector<ProposalCase> proposal_cases() {
    return {
        {"all zones healthy", {}, {}, nullptr},
        {"a quarter lost: the rest times 1.4 bears all requests", {{"a", 75}}, {}, nullptr},
        {"a third lost: too small a change", {{"a", 65}}, {}, nullptr},
        {"half lost: 30 % leave, within the region", {{"a", 50}}, {}, "b=30"},
        {"most lost: one step", {{"a", 10}}, {}, "b=50"},
        {"all lost: all requests leave at once", {{"a", 0}}, {}, "b=100"},
        {"the region's other zone has failed over itself: all requests go to the next region",
         {{"a", 0}, {"b", 50}},
         {{"failover/b", "1 c=30"}},
         "c=100"},
        {"the other zone at 60 %: it takes what it can, the next region the rest",
         {{"a", 0}, {"b", 60}},
         {},
         "b=84 c=16"},
        {"below the panic threshold a zone takes no spillover", {{"a", 0}, {"b", 45}}, {}, "c=100"},
        {"no zone is healthy: the requests stay", {{"a", 0}, {"b", 0}, {"c", 0}}, {}, nullptr},
        {"another zone already sends requests to the target",
         {{"a", 0}, {"b", 40}, {"c", 100}},
         {{"failover/b", "2 c=44"}},
         "c=100"},
        {"too little spare capacity: the target is overloaded rather than requests left without one",
         {{"a", 0}, {"b", 0}, {"c", 50}},
         {{"failover/b", "2 c=60"}},
         "c=100"},
        {"step back: one step", {}, {{"failover/a", "5 b=100"}}, "b=75"},
        {"step back: the last step", {}, {{"failover/a", "5 b=20"}}, ""},
        {"half recovered: one step back", {{"a", 50}}, {{"failover/a", "5 b=100"}}, "b=75"},
        {"the decision fits the health", {{"a", 50}}, {{"failover/a", "5 b=30"}}, nullptr},
        {"the decision nearly fits the health", {{"a", 55}}, {{"failover/a", "5 b=30"}}, nullptr},
        {"its target is lost too", {{"a", 0}, {"b", 0}}, {{"failover/a", "5 b=100"}}, "c=100"},
        {"overridden to in: the requests stay, whatever the health", {{"a", 0}}, {{"pin/a", "in"}}, nullptr},
        {"overridden to in: back in steps", {{"a", 0}}, {{"pin/a", "in"}, {"failover/a", "5 b=100"}}, "b=75"},
        {"overridden to out: all requests leave", {}, {{"pin/a", "out"}}, "b=100"},
        {"a zone overridden to out takes no spillover", {{"a", 0}}, {{"pin/b", "out"}}, "c=100"},
    };
}

void a_decision_follows_from_health_and_overrides() {
    for (const auto& c : proposal_cases()) {
        SharedState shared;
        for (const auto& [zone, percent] : c.health)
            shared.health(zone, percent);
        for (const auto& [key, value] : c.state)
            shared.put(shared.state, key, "x@1", value);
        // Long enough for every turn to have come.
        Failover f{"a1", "a", settings()};
        std::optional<std::string> written_targets;
        for (Time t = 0ms; t < 20s && !written_targets; t += 50ms)
            for (const auto& write : f.tick(shared.input(t)).writes)
                if (write.zone == "a")
                    written_targets = targets(write.decision);
        const bool as_expected =
            c.expected_targets ? written_targets == std::string{c.expected_targets} : !written_targets;
        if (!as_expected)
            std::fprintf(stderr, "case: %s: %s\n", c.description,
                         written_targets ? written_targets->c_str() : "none");
        CHECK(as_expected);
    }
}

void no_decision_without_a_majority_of_reports_and_of_routers() {
    const auto writes = [](SharedState& shared, const std::string& router) {
        Failover f{router, shared.alive.at(router), settings()};
        std::size_t n = 0;
        for (Time t = 0ms; t < 20s; t += 50ms)
            n += f.tick(shared.input(t)).writes.size();
        return n;
    };
    SharedState one;
    one.report("a0", 0);
    CHECK(writes(one, "a0") == 0 && writes(one, "a1") == 0);
    one.report("a1", 0);  // two of three: a majority of the zone's reports
    CHECK(writes(one, "a2") > 0 && writes(one, "b1") > 0);
    CHECK(writes(one, "c1") == 0);  // routers of another region do not decide
    // A router that is cut off, and whose servers are down: it sees no other member.
    SharedState alone;
    alone.report("a0", 0);
    alone.alive = {{"a0", "a"}};
    CHECK(writes(alone, "a0") == 0);
    // Half of the region is no majority.
    SharedState half;
    half.health("a", 0);
    half.alive = {{"a0", "a"}, {"a1", "a"}, {"a2", "a"}, {"c0", "c"}, {"c1", "c"}, {"c2", "c"}};
    CHECK(writes(half, "a0") == 0);
    // Reports of dead members do not count.
    SharedState dead;
    dead.health("a", 0);
    dead.alive.erase("a1");
    dead.alive.erase("a2");
    dead.report("a0", 100);
    CHECK(writes(dead, "b0") == 0);
}

// And at no other time. The decisions are the same as without revisions.
void members_and_reports_are_read_when_their_revision_changes() {
    SharedState shared;
    Failover with_revisions{"a2", "a", settings()}, without_revisions{"a2", "a", settings()};
    std::uint64_t view = 1, reports = 1;
    Time now{0};
    const auto run = [&](Time span) {
        std::pair<std::size_t, std::size_t> written;
        for (const Time until = now + span; now < until; now += 50ms) {
            auto in = shared.input(now);
            written.second += without_revisions.tick(in).writes.size();
            in.alive_revision = view;
            in.reports_revision = reports;
            written.first += with_revisions.tick(in).writes.size();
        }
        return written;
    };
    CHECK((run(2s) == std::pair<std::size_t, std::size_t>{0, 0}));
    shared.report("a0", 0);
    shared.report("a1", 0);
    CHECK(run(5s).first == 0);  // the revision has not changed yet
    ++reports;
    CHECK(run(5s).first > 0);
    const auto both = run(1s);
    CHECK(both.first == both.second);
    // Reports of dead members do not count: the same reports are read again when the view changes.
    shared.alive.erase("a0");
    shared.alive.erase("a1");
    CHECK(run(5s).first > 0);
    ++view;
    CHECK((run(1s) == std::pair<std::size_t, std::size_t>{0, 0}));
    CHECK(with_revisions.zones().at("a").health == without_revisions.zones().at("a").health);
}

// All routers of two regions over one state, whose changes each sees at once. Routers in `stopped` do not
// run.
struct RouterGroup {
    SharedState shared;
    std::map<std::string, Failover> routers;
    std::set<std::string> stopped;
    Time now{0};
    std::vector<std::pair<Time, Failover::Write>> written;
    std::size_t changes = 0;  // as b0 sees them

    RouterGroup() {
        for (const auto& [name, zone] : shared.alive)
            routers.emplace(name, Failover{name, zone, settings()});
    }
    void run(Time span, Time step = 50ms) {
        for (const Time until = now + span; now < until; now += step) {
            shared.unix_now = kNow + now.count();
            for (auto& [name, router] : routers) {
                if (stopped.contains(name))
                    continue;
                const auto out = router.tick(shared.input(now));
                if (name == "b0")
                    changes += out.changes.size();
                for (const auto& write : out.writes) {
                    written.emplace_back(now, write);
                    shared.put(shared.state, decision_key(write.zone), name, encode(write.decision));
                }
            }
        }
    }
    FailoverDecision decision_of(const std::string& router, const std::string& zone) {
        return routers.at(router).zones().at(zone).decision;
    }
};

void a_lost_zone_fails_over_once_and_recovers_in_steps() {
    RouterGroup group;
    group.run(5s);
    CHECK(group.written.empty());
    group.shared.health("a", 0);
    const auto lost = group.now;
    group.run(2s);
    CHECK(group.written.size() == 1 && group.written[0].first - lost <= 1s);
    for (const auto& [name, router] : group.routers)
        CHECK(targets(group.decision_of(name, "a")) == "b=100");
    // Back: four steps, at most one per hold-down, each written once.
    group.shared.health("a", 100);
    group.run(30s);
    CHECK(group.written.size() == 5 && group.decision_of("c2", "a").percent_leaving() == 0 &&
          group.decision_of("c2", "a").epoch == 5);
    for (std::size_t i = 1; i < group.written.size(); ++i)
        CHECK(group.written[i].first - group.written[i - 1].first >= settings().hold_down);
}

// The first step back warms up its servers; the next steps follow what they bear.
void a_cold_zone_gets_its_requests_back_as_it_warms_up() {
    RouterGroup group;
    group.run(5s);
    group.shared.health("a", 0);
    group.run(3s);
    CHECK(group.decision_of("b0", "a").percent_leaving() == 100);
    const auto epoch = group.decision_of("b0", "a").epoch;
    group.shared.health("a", 100, 25);
    group.run(20s);
    CHECK(group.decision_of("b0", "a").percent_leaving() == 65 &&
          group.decision_of("b0", "a").epoch == epoch + 2);
    group.shared.health("a", 100, 50);  // times 1.4: bears 70 %
    group.run(20s);
    CHECK(group.decision_of("b0", "a").percent_leaving() == 30);
    group.shared.health("a", 100);
    group.run(20s);
    CHECK(group.decision_of("b0", "a").percent_leaving() == 0);
    // Cold but healthy servers are no reason for requests to leave.
    group.shared.health("a", 100, 25);
    group.run(20s);
    CHECK(group.decision_of("b0", "a").percent_leaving() == 0);
}

// The health changes faster than the hold-down.
void a_flapping_zone_changes_once_per_hold_down_and_waits_longer_each_time() {
    RouterGroup group;
    group.run(5s);
    const auto before = group.written.size(), seen = group.changes;
    for (int i = 0; i < 60; ++i) {
        group.shared.health("a", i % 2 ? 100 : 30);
        group.run(1s);
    }
    CHECK(group.written.size() > before);
    CHECK(group.written.size() - before <= 60 / 5 && group.changes - seen <= 60 / 5);
    CHECK(group.routers.at("b0").zones().at("a").flaps <= 6);
    CHECK(group.routers.at("b0").zones().at("a").hold_down_factor >= 4);
}

// The router whose turn it is stops: the next one writes the decision, once. After it continues, the stopped
// router does not write its outdated proposal.
void when_the_writer_is_stopped_the_next_one_writes_once() {
    for (int stop_count = 1; stop_count <= 2; ++stop_count) {
        RouterGroup group;
        group.run(3s);
        group.shared.health("a", 0);
        // A run of a copy shows which router would write first.
        for (int i = 0; i < stop_count; ++i) {
            RouterGroup copy = group;
            copy.run(5s);
            const auto writer = effective_decision(&copy.shared.state.at("failover/a")).writer;
            group.stopped.insert(writer);
        }
        group.run(2500ms);
        CHECK(group.written.size() == 1 && group.decision_of("c0", "a").epoch == 1);
        group.stopped.clear();
        group.run(4s);
        CHECK(group.written.size() == 1);
        for (const auto& [name, router] : group.routers)
            CHECK(targets(group.decision_of(name, "a")) == "b=100");
    }
}

void spillover_scales_the_weights_of_the_zones() {
    const auto nearly_equal = [](double a, double b) {
        return std::abs(a - b) < 1e-9;
    };
    SharedState shared;
    const auto factors = [&shared](const char* zone) {
        Failover f{std::string{zone}.append("0"), zone, settings()};
        return f.tick(shared.input(0ms)).weight_factors;
    };
    CHECK(factors("a").empty() && factors("b").empty());
    shared.put(shared.state, "failover/a", "x@1", "3 b=25 c=25");
    auto a = factors("a"), b = factors("b");
    CHECK(nearly_equal(a["a"], 0.5 / 1.25) && nearly_equal(a["b"], 0.25 / 1.25) &&
          nearly_equal(a["c"], 0.25 / 1.25));
    CHECK(b.size() == 1 && nearly_equal(b["b"], 1 / 1.25));
    // Over all routers a server of b gets as many requests as without spillover: the factors of a and b add
    // up to 1.
    CHECK(nearly_equal(a["b"] + b["b"], 1));
    shared.put(shared.state, "failover/a", "x@1", "4 b=100");
    a = factors("a");
    CHECK(a.size() == 2 && a["a"] == 0 && nearly_equal(a["b"], 0.5) && nearly_equal(factors("b")["b"], 0.5));
    // Zones of different weights: a decision states shares of requests, not of servers.
    shared.weights["b"] = 80;
    a = factors("a");
    CHECK(nearly_equal(a["b"], 0.5 / 1.5) && nearly_equal(factors("b")["b"], 1 / 1.5));
    shared.weights["b"] = 0;  // no server of b is listed: the requests stay in the zone
    CHECK(factors("a").empty());
    shared.put(shared.state, "failover/a", "x@1", "5 b=50 c=50");
    CHECK(nearly_equal(factors("a")["c"], 1 / 1.5) && factors("a")["a"] == 0);
}

}  // namespace

int main() {
    only_a_valid_decision_is_decoded();
    of_concurrent_decisions_the_highest_epoch_and_the_earliest_write_counts();
    zone_health_follows_from_its_servers();
    only_a_valid_health_report_is_decoded();
    a_decision_follows_from_health_and_overrides();
    no_decision_without_a_majority_of_reports_and_of_routers();
    members_and_reports_are_read_when_their_revision_changes();
    a_lost_zone_fails_over_once_and_recovers_in_steps();
    a_cold_zone_gets_its_requests_back_as_it_warms_up();
    a_flapping_zone_changes_once_per_hold_down_and_waits_longer_each_time();
    when_the_writer_is_stopped_the_next_one_writes_once();
    spillover_scales_the_weights_of_the_zones();
    std::puts("failover: decisions need a quorum, change in steps and are written once");
}

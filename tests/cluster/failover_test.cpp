// Failover's rules by tables: what is proposed of health, overrides and decisions; who writes it and when;
// what a decision makes of the servers' weights. Then a region of routers over one state, tick by tick.
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

// The replicated state and the view, as all routers of the tests see them.
struct World {
    std::map<std::string, ReplicatedEntry> reports, state;
    std::map<std::string, std::string> alive;
    std::map<std::string, double> weights{{"a", 40}, {"b", 40}, {"c", 40}};
    UnixMs unix_now = kNow;
    std::uint64_t last_version = 0;

    World() {
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
    void health(const std::string& zone, int h, int warm = 100) {
        for (const auto& [router, its] : alive)
            if (its == zone)
                report(router, h, warm);
    }
    Failover::Input input(Time now, ZoneHealth own = {}) const {
        return {now, unix_now, own, &alive, &reports, &state, weights};
    }
};

std::string targets(const FailoverDecision& d) {
    auto text = encode(d);
    const auto at = text.find(' ');
    return at == std::string::npos ? "" : text.substr(at + 1);
}

void only_a_valid_decision_is_decoded() {
    const struct {
        const char* text;
        bool good;
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
        const auto d = decode_decision(c.text);
        if (d.has_value() != c.good)
            std::fprintf(stderr, "text: %s\n", c.text);
        CHECK(d.has_value() == c.good);
        if (d)
            CHECK(encode(*d) == c.text);
    }
}

// As after a partition.
void of_decisions_side_by_side_the_highest_epoch_and_the_earliest_write_counts() {
    ReplicatedEntry e{
        {{"x@1", {1, 0, 20, "4 b=100"}}, {"y@1", {1, 0, 10, "4 c=100"}}, {"z@1", {1, 0, 30, "3"}}}, 30};
    CHECK(effective_decision(&e).epoch == 4 && effective_decision(&e).writer == "y@1" &&
          targets(effective_decision(&e)) == "c=100");
    e.writes["q@1"] = {2, 2, 0, ""};  // cleared
    e.writes["r@1"] = {1, 0, 5, "no decision"};
    CHECK(effective_decision(&e).writer == "y@1" && effective_decision(nullptr).epoch == 0);
}

void the_health_of_a_zone_follows_its_servers_by_the_table() {
    using Servers = std::vector<ZoneServer>;
    const auto server = [](double weight, bool avoided, bool banned = false, std::optional<bool> probed = {},
                           double warm = 1) {
        return ZoneServer{weight, avoided, banned, probed, warm};
    };
    const struct {
        Servers servers;
        bool steered;
        ZoneHealth health;
    } kCases[] = {
        {{}, false, {100, 100}},
        {{server(1, false), server(1, false)}, false, {100, 100}},
        {{server(1, true), server(1, false)}, false, {50, 50}},
        {{server(1, true), server(1, true)}, false, {0, 0}},
        {{server(1, false, true), server(1, false)}, false, {50, 50}},             // by hand
        {{server(3, true), server(1, false)}, false, {25, 25}},                    // by weight
        {{server(1, false), server(1, false), server(1, true)}, false, {65, 65}},  // in fives, downwards
        {{server(1, false, false, false), server(1, false)}, false, {50, 50}},     // looked at, and down
        {{server(1, true, false, true), server(1, false)}, false, {50, 50}},       // connects, fails requests
        {{server(1, false), server(1, false, false, true)}, true, {50, 50}},       // only connects tell
        {{server(1, true, false, true), server(1, false)}, true, {50, 50}},
        {{server(1, false, false, {}, 0.3), server(1, false)}, false, {100, 65}},  // up, and cold
        {{server(1, true, false, {}, 0.3), server(1, false)}, false, {50, 50}}};
    for (const auto& c : kCases)
        CHECK(measure_zone_health(c.servers, c.steered) == c.health);
}

void only_a_valid_health_report_is_decoded() {
    const struct {
        const char* text;
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
        CHECK(decode_zone_health(c.text) == c.health);
}

struct ProposalCase {
    const char* what;
    std::vector<std::pair<const char*, int>> health;         // by zone
    std::vector<std::pair<const char*, const char*>> state;  // key, value
    const char* becomes;                                     // a's targets; null: no change is written
};

// What zone a's decision comes to be, of one look at the state.
std::vector<ProposalCase> proposal_cases() {
    return {
        {"calm", {}, {}, nullptr},
        {"a quarter lost: what is left bears all, times 1.4", {{"a", 75}}, {}, nullptr},
        {"a third lost: too small a change", {{"a", 65}}, {}, nullptr},
        {"half lost: three in ten leave, within the region", {{"a", 50}}, {}, "b=30"},
        {"most lost: one step", {{"a", 10}}, {}, "b=50"},
        {"all lost: all leave at once", {{"a", 0}}, {}, "b=100"},
        {"the region's other zone is half gone: what it has to spare, the rest to the next region",
         {{"a", 0}, {"b", 50}},
         {{"failover/b", "1 c=30"}},
         "c=100"},
        {"the other zone at six in ten", {{"a", 0}, {"b", 60}}, {}, "b=84 c=16"},
        {"below the panic threshold it takes nobody in", {{"a", 0}, {"b", 45}}, {}, "c=100"},
        {"nowhere to go: it stays", {{"a", 0}, {"b", 0}, {"c", 0}}, {}, nullptr},
        {"another zone is already there",
         {{"a", 0}, {"b", 40}, {"c", 100}},
         {{"failover/b", "2 c=44"}},
         "c=100"},
        {"little to spare: more than it bears rather than nobody's",
         {{"a", 0}, {"b", 0}, {"c", 50}},
         {{"failover/b", "2 c=60"}},
         "c=100"},
        {"back: one step", {}, {{"failover/a", "5 b=100"}}, "b=75"},
        {"back, last step", {}, {{"failover/a", "5 b=20"}}, ""},
        {"half back", {{"a", 50}}, {{"failover/a", "5 b=100"}}, "b=75"},
        {"as it should be", {{"a", 50}}, {{"failover/a", "5 b=30"}}, nullptr},
        {"nearly", {{"a", 55}}, {{"failover/a", "5 b=30"}}, nullptr},
        {"its target is lost too", {{"a", 0}, {"b", 0}}, {{"failover/a", "5 b=100"}}, "c=100"},
        {"pinned in: it stays, whatever is seen", {{"a", 0}}, {{"pin/a", "in"}}, nullptr},
        {"pinned in: back in steps", {{"a", 0}}, {{"pin/a", "in"}, {"failover/a", "5 b=100"}}, "b=75"},
        {"pinned out", {}, {{"pin/a", "out"}}, "b=100"},
        {"a pinned zone takes nobody in", {{"a", 0}}, {{"pin/b", "out"}}, "c=100"},
    };
}

void a_decision_follows_health_and_overrides_by_the_table() {
    for (const auto& c : proposal_cases()) {
        World w;
        for (const auto& [zone, h] : c.health)
            w.health(zone, h);
        for (const auto& [key, value] : c.state)
            w.put(w.state, key, "x@1", value);
        // Until whoever has the last turn has had it.
        Failover f{"a1", "a", settings()};
        std::optional<std::string> became;
        for (Time t = 0ms; t < 20s && !became; t += 50ms)
            for (const auto& write : f.tick(w.input(t)).writes)
                if (write.zone == "a")
                    became = targets(write.decision);
        const bool as_told = c.becomes ? became == std::string{c.becomes} : !became;
        if (!as_told)
            std::fprintf(stderr, "case: %s: %s\n", c.what, became ? became->c_str() : "none");
        CHECK(as_told);
    }
}

void one_report_a_minority_and_too_few_reporters_change_nothing() {
    const auto writes = [](World& w, const std::string& who) {
        Failover f{who, w.alive.at(who), settings()};
        std::size_t n = 0;
        for (Time t = 0ms; t < 20s; t += 50ms)
            n += f.tick(w.input(t)).writes.size();
        return n;
    };
    World one;
    one.report("a0", 0);
    CHECK(writes(one, "a0") == 0 && writes(one, "a1") == 0);
    one.report("a1", 0);  // two of three: the zone
    CHECK(writes(one, "a2") > 0 && writes(one, "b1") > 0);
    CHECK(writes(one, "c1") == 0);  // another region's affair
    // Cut off with all of its zone's servers: it sees nobody else.
    World alone;
    alone.report("a0", 0);
    alone.alive = {{"a0", "a"}};
    CHECK(writes(alone, "a0") == 0);
    // Half of the region is no majority.
    World half;
    half.health("a", 0);
    half.alive = {{"a0", "a"}, {"a1", "a"}, {"a2", "a"}, {"c0", "c"}, {"c1", "c"}, {"c2", "c"}};
    CHECK(writes(half, "a0") == 0);
    // The reports of the dead do not count.
    World dead;
    dead.health("a", 0);
    dead.alive.erase("a1");
    dead.alive.erase("a2");
    dead.report("a0", 100);
    CHECK(writes(dead, "b0") == 0);
}

// And at no other time; what is decided is the same as without revisions.
void members_and_reports_are_read_when_their_revision_changes() {
    World w;
    Failover told{"a2", "a", settings()}, untold{"a2", "a", settings()};
    std::uint64_t view = 1, reports = 1;
    Time now{0};
    const auto run = [&](Time span) {
        std::pair<std::size_t, std::size_t> written;
        for (const Time until = now + span; now < until; now += 50ms) {
            auto in = w.input(now);
            written.second += untold.tick(in).writes.size();
            in.alive_revision = view;
            in.reports_revision = reports;
            written.first += told.tick(in).writes.size();
        }
        return written;
    };
    CHECK((run(2s) == std::pair<std::size_t, std::size_t>{0, 0}));
    w.report("a0", 0);
    w.report("a1", 0);
    CHECK(run(5s).first == 0);  // not told yet
    ++reports;
    CHECK(run(5s).first > 0);
    const auto both = run(1s);
    CHECK(both.first == both.second);
    // The reports of the dead do not count: the same reports are read again when the view changes.
    w.alive.erase("a0");
    w.alive.erase("a1");
    CHECK(run(5s).first > 0);
    ++view;
    CHECK((run(1s) == std::pair<std::size_t, std::size_t>{0, 0}));
    CHECK(told.zones().at("a").health == untold.zones().at("a").health);
}

// All routers of two regions over one state that each sees at once; who does not run is in `stopped`.
struct Region {
    World w;
    std::map<std::string, Failover> routers;
    std::set<std::string> stopped;
    Time now{0};
    std::vector<std::pair<Time, Failover::Write>> written;
    std::size_t changes = 0;  // as a0 or b0 sees them

    Region() {
        for (const auto& [name, zone] : w.alive)
            routers.emplace(name, Failover{name, zone, settings()});
    }
    void run(Time span, Time step = 50ms) {
        for (const Time until = now + span; now < until; now += step) {
            w.unix_now = kNow + now.count();
            for (auto& [name, router] : routers) {
                if (stopped.contains(name))
                    continue;
                const auto out = router.tick(w.input(now));
                if (name == "b0")
                    changes += out.changes.size();
                for (const auto& write : out.writes) {
                    written.emplace_back(now, write);
                    w.put(w.state, decision_key(write.zone), name, encode(write.decision));
                }
            }
        }
    }
    FailoverDecision of(const std::string& router, const std::string& zone) {
        return routers.at(router).zones().at(zone).decision;
    }
};

void a_lost_zone_fails_over_once_and_comes_back_in_steps() {
    Region r;
    r.run(5s);
    CHECK(r.written.empty());
    r.w.health("a", 0);
    const auto lost = r.now;
    r.run(2s);
    CHECK(r.written.size() == 1 && r.written[0].first - lost <= 1s);
    for (const auto& [name, router] : r.routers)
        CHECK(targets(r.of(name, "a")) == "b=100");
    // Back: four steps, one a hold-down, each once.
    r.w.health("a", 100);
    r.run(30s);
    CHECK(r.written.size() == 5 && r.of("c2", "a").percent_leaving() == 0 && r.of("c2", "a").epoch == 5);
    for (std::size_t i = 1; i < r.written.size(); ++i)
        CHECK(r.written[i].first - r.written[i - 1].first >= settings().hold_down);
}

// The first step lets them in, the next ones follow what they bear.
void a_zone_that_comes_back_cold_is_let_in_as_it_warms_up() {
    Region r;
    r.run(5s);
    r.w.health("a", 0);
    r.run(3s);
    CHECK(r.of("b0", "a").percent_leaving() == 100);
    const auto epoch = r.of("b0", "a").epoch;
    r.w.health("a", 100, 25);
    r.run(20s);
    CHECK(r.of("b0", "a").percent_leaving() == 65 && r.of("b0", "a").epoch == epoch + 2);
    r.w.health("a", 100, 50);  // seven in ten
    r.run(20s);
    CHECK(r.of("b0", "a").percent_leaving() == 30);
    r.w.health("a", 100);
    r.run(20s);
    CHECK(r.of("b0", "a").percent_leaving() == 0);
    // Cold, but there: no reason to leave.
    r.w.health("a", 100, 25);
    r.run(20s);
    CHECK(r.of("b0", "a").percent_leaving() == 0);
}

// Faster than the hold-down.
void a_flapping_zone_changes_once_a_hold_down_and_waits_longer_each_time() {
    Region r;
    r.run(5s);
    const auto before = r.written.size(), seen = r.changes;
    for (int i = 0; i < 60; ++i) {
        r.w.health("a", i % 2 ? 100 : 30);
        r.run(1s);
    }
    CHECK(r.written.size() > before);
    CHECK(r.written.size() - before <= 60 / 5 && r.changes - seen <= 60 / 5);
    CHECK(r.routers.at("b0").zones().at("a").flaps <= 6);
    CHECK(r.routers.at("b0").zones().at("a").hold_down_factor >= 4);
}

// Whoever would write is stopped: the next one does, once; woken, it writes nothing of what it meant to.
void when_the_writer_is_stopped_the_next_one_writes_once() {
    for (int many = 1; many <= 2; ++many) {
        Region r;
        r.run(3s);
        r.w.health("a", 0);
        // Whose turn it is shows by who writes first in a copy of the world.
        for (int i = 0; i < many; ++i) {
            Region copy = r;
            copy.run(5s);
            const auto by = effective_decision(&copy.w.state.at("failover/a")).writer;
            r.stopped.insert(by);
        }
        r.run(2500ms);
        CHECK(r.written.size() == 1 && r.of("c0", "a").epoch == 1);
        r.stopped.clear();
        r.run(4s);
        CHECK(r.written.size() == 1);
        for (const auto& [name, router] : r.routers)
            CHECK(targets(r.of(name, "a")) == "b=100");
    }
}

void spillover_scales_the_weights_of_the_zones() {
    const auto near = [](double a, double b) {
        return std::abs(a - b) < 1e-9;
    };
    World w;
    const auto factors = [&w](const char* zone) {
        Failover f{std::string{zone}.append("0"), zone, settings()};
        return f.tick(w.input(0ms)).weight_factors;
    };
    CHECK(factors("a").empty() && factors("b").empty());
    w.put(w.state, "failover/a", "x@1", "3 b=25 c=25");
    auto a = factors("a"), b = factors("b");
    CHECK(near(a["a"], 0.5 / 1.25) && near(a["b"], 0.25 / 1.25) && near(a["c"], 0.25 / 1.25));
    CHECK(b.size() == 1 && near(b["b"], 1 / 1.25));
    // Over all routers a server of b is used by as much as alone: here a's part and b's are one.
    CHECK(near(a["b"] + b["b"], 1));
    w.put(w.state, "failover/a", "x@1", "4 b=100");
    a = factors("a");
    CHECK(a.size() == 2 && a["a"] == 0 && near(a["b"], 0.5) && near(factors("b")["b"], 0.5));
    // Of another size: the part of the requests is what is told, not that of the servers.
    w.weights["b"] = 80;
    a = factors("a");
    CHECK(near(a["b"], 0.5 / 1.5) && near(factors("b")["b"], 1 / 1.5));
    w.weights["b"] = 0;  // none of it listed: near rather than nowhere
    CHECK(factors("a").empty());
    w.put(w.state, "failover/a", "x@1", "5 b=50 c=50");
    CHECK(near(factors("a")["c"], 1 / 1.5) && factors("a")["a"] == 0);
}

}  // namespace

int main() {
    only_a_valid_decision_is_decoded();
    of_decisions_side_by_side_the_highest_epoch_and_the_earliest_write_counts();
    the_health_of_a_zone_follows_its_servers_by_the_table();
    only_a_valid_health_report_is_decoded();
    a_decision_follows_health_and_overrides_by_the_table();
    one_report_a_minority_and_too_few_reporters_change_nothing();
    members_and_reports_are_read_when_their_revision_changes();
    a_lost_zone_fails_over_once_and_comes_back_in_steps();
    a_zone_that_comes_back_cold_is_let_in_as_it_warms_up();
    a_flapping_zone_changes_once_a_hold_down_and_waits_longer_each_time();
    when_the_writer_is_stopped_the_next_one_writes_once();
    spillover_scales_the_weights_of_the_zones();
    std::puts("failover: decided together, by a quorum, in steps, and written once");
}

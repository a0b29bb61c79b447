// Failover in common, by real processes: nine routers in three zones of two regions before stand-in servers,
// with faults between them. Every request has to be answered once, and no write may run twice.
#include "cluster/failover/failover.h"

#include <signal.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

#include "common.h"

namespace {

constexpr std::size_t kRouters = 9, kServersEach = 4;
constexpr std::size_t kStore = 3 * kServersEach;  // its number in the farm
const std::vector<std::size_t> kOfZ1{0, 1, 2, 3};
constexpr auto kHold = 2000ms;

// m0 to m2 in z1, m3 to m5 in z2, both of r1; m6 to m8 in z3 of r2. `rules`: servers just started bear
// little.
Fleet::Options placed(const lab::Farm& farm, bool rules = false) {
    auto o = options(kRouters);
    o.peers_extra +=
        R"(,"failover":{"hold_ms":2000,"slot_ms":250,"zones":[{"name":"z1","region":"r1","routers":3},)"
        R"({"name":"z2","region":"r1","routers":3},{"name":"z3","region":"r2","routers":3}]})";
    for (std::size_t i = 0; i < kRouters; ++i)
        o.places.push_back({"z" + std::to_string(1 + i / 3), i < 6 ? "r1" : "r2"});
    const int weight = rules ? 2 : 10;
    o.servers = [&farm, weight](std::size_t i) {
        std::vector<Fleet::Options::ServerRecord> out;
        for (std::size_t k = 0; k < kStore; ++k)
            out.push_back({Fleet::server(k), farm.address(k, i),
                           std::string{"z"}.append(std::to_string(1 + k / kServersEach)), "small-box",
                           "active", weight});
        out.push_back({"store", farm.address(kStore, i), "north", "origin", "active", 10});
        return out;
    };
    if (rules) {
        o.rules = R"({"cold-from":0.26,"cold":14000000000,"tip-multiple":2,"fall":3000000000})";
        o.family = R"(,"one-flow-kb-per-s":100)";
    }
    return o;
}

struct Zone {
    std::string health, to, pin;
    std::uint64_t epoch = 0;
    int out = -1;
    bool operator==(const Zone&) const = default;
};
// FAILOVER of member i, zone z1; out -1 if it does not answer.
Zone z1_of(Fleet& fleet, std::size_t i) {
    std::istringstream lines{fleet.call(i, "FAILOVER")};
    std::string line, name, region, routers;
    Zone z;
    while (std::getline(lines, line)) {
        std::istringstream words{line};
        if (words >> name >> region >> routers && name == "z1") {
            words >> z.health >> z.epoch >> z.out >> z.to >> z.pin;
            return z;
        }
    }
    return z;
}

// The load: each call asks each running router for a few objects, and now and then for a write.
struct Load {
    Fleet& fleet;
    std::vector<std::size_t> routers;
    std::size_t each = 2;
    std::map<int, std::size_t> answers{};  // by status
    std::map<int, std::size_t> writes{};
    std::uint64_t object = 0;

    void ask() {
        for (const auto i : routers) {
            if (!fleet.running(i))
                continue;
            for (std::size_t k = 0; k < each; ++k)
                ++answers[fleet.ask(i, "pages", ++object)];
            if (++object % 5 == 0)
                ++writes[fleet.ask(i, "lodge", object)];
        }
    }
    // Answered once, whatever the answer: no answer and two answers are both faults.
    void check(const lab::Farm& farm) const {
        for (const auto* all : {&answers, &writes})
            for (const auto& [status, count] : *all)
                if (status <= 0) {
                    std::fprintf(stderr, "%zu requests with %s\n", count,
                                 status < 0 ? "two answers" : "none");
                    CHECK(false);
                }
        const auto runs = farm.runs();
        CHECK(!runs.empty() && writes.contains(200) && runs.size() >= writes.at(200));
        for (const auto& [id, times] : runs)
            CHECK(times == 1);
    }
    std::size_t served() const {
        const auto at = answers.find(200);
        return at == answers.end() ? 0 : at->second;
    }
    std::size_t asked() const {
        std::size_t n = 0;
        for (const auto& [status, count] : answers)
            n += count;
        return n;
    }
};

bool all_have(Fleet& fleet, int out, const std::vector<std::size_t>& except = {}) {
    for (std::size_t i = 0; i < kRouters; ++i)
        if (fleet.running(i) && std::find(except.begin(), except.end(), i) == except.end() &&
            z1_of(fleet, i).out != out)
            return false;
    return true;
}

void begin(Fleet& fleet, Load& load) {
    start_all(fleet, 0, kRouters);
    CHECK(agreed(fleet, 5s));
    // Each zone's health is known to all before anything happens.
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            for (std::size_t i = 0; i < kRouters; ++i)
                if (z1_of(fleet, i).health != "100/100")
                    return false;
            return true;
        },
        5s));
    CHECK(load.served() == load.asked() && all_have(fleet, 0));
}

// A zone's servers lost: one decision, in force on all routers of the region within 2 s, and nothing goes
// there any more. Servers back: in steps, and none that is cold gets more than it bears.
void zone_lost() {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm, true)};
    Load load{fleet, {0, 1, 2, 3}, 4};
    begin(fleet, load);
    const auto calm = farm.asked();
    CHECK(std::none_of(calm.begin(), calm.end(), [](const lab::Farm::Asked& a) {
        return a.server != kStore && a.server / kServersEach != a.router / 3;  // all near
    }));
    for (const auto k : kOfZ1)
        farm.set_server(k, false);
    const auto lost = std::chrono::steady_clock::now();
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return all_have(fleet, 100);
        },
        2s));
    std::printf("zone lost: decided and known to all nine after %lld ms\n", since(lost));
    CHECK(z1_of(fleet, 0).to == "z2=100" && z1_of(fleet, 5).epoch == 1);
    // The servers would answer again, but nobody asks them before the next decision.
    const auto refused =
        fleet.counters(0)["ending_no_connection"] + fleet.counters(1)["ending_no_connection"];
    const auto before = load.served(), before_asked = load.asked();
    for (int i = 0; i < 10; ++i)
        load.ask();
    CHECK(load.served() - before == load.asked() - before_asked);
    CHECK(fleet.counters(0)["ending_no_connection"] + fleet.counters(1)["ending_no_connection"] == refused);
    CHECK(fleet.counters(0)["failover.sent_out_of_zone"] > 0);
    CHECK(fleet.counters(0)["failover.sent_out_of_region"] == 0);
    for (const auto k : kOfZ1)
        farm.set_server(k, true);
    const auto up = std::chrono::steady_clock::now();
    std::vector<std::pair<int, std::chrono::steady_clock::time_point>> steps{{100, lost}};  // as m0 has them
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            const int out = z1_of(fleet, 0).out;
            if (out != steps.back().first)
                steps.emplace_back(out, std::chrono::steady_clock::now());
            return out == 0 && all_have(fleet, 0);
        },
        25s));
    // A quarter first, then as its servers warm, never out again; each at least a hold-down after the one
    // before.
    CHECK(steps.size() >= 4 && steps[1].first == 75);
    for (std::size_t i = 2; i < steps.size(); ++i)
        CHECK(steps[i].first < steps[i - 1].first && steps[i].first >= steps[i - 1].first - 25 &&
              steps[i].second - steps[i - 1].second > kHold - 300ms);
    // m0 saw the step at most one look after it came.
    std::size_t early = 0;
    const auto all = farm.asked();
    for (const auto& a : all)
        if (a.server < kServersEach && a.at > lost + 2s && a.at < steps[1].second - 500ms)
            ++early;
    CHECK(early == 0);
    // What a server just started bears in 3 s: N requests of 0.25 s, twice its weight times how warm it is by
    // the end; over it by chance only. It counts as started with the first step back.
    std::size_t most = 0;
    for (const auto k : kOfZ1) {
        std::vector<std::chrono::steady_clock::time_point> at;
        for (const auto& a : all)
            if (a.server == k && a.at > up)
                at.push_back(a.at);
        for (std::size_t i = 0, j = 0; j < at.size(); ++j) {
            while (at[j] - at[i] > 3s)
                ++i;
            const double warm = std::min(1.0, std::chrono::duration<double>(at[j] - at.front()).count() / 14);
            const double n = 2 * 2 * (0.26 + 0.74 * warm) * 3 / 0.25;
            most = std::max(most, j - i + 1);
            CHECK(static_cast<double>(j - i + 1) <= n + 3 * std::sqrt(n) + 3);
        }
    }
    std::printf(
        "zone lost: back in %zu steps over %lld ms, at most %zu requests to a box in 3 s; %zu of %zu "
        "served\n",
        steps.size() - 1, since(up), most, load.served(), load.asked());
    load.check(farm);
}

// One router's link to all of its zone's servers is down: nobody moves.
void flaky_link() {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm)};
    Load load{fleet, {0, 1, 2, 4}};
    begin(fleet, load);
    const auto began = std::chrono::steady_clock::now();
    bool up = false;
    fleet.wait_until(
        [&] {
            for (const auto k : kOfZ1)
                farm.set_link(k, 0, up);
            up = !up && since(began) % 5 == 0;  // down most of the time
            load.ask();
            return since(began) > 6000;
        },
        8s);
    CHECK(fleet.counters(0)["ending_no_connection"] > 5);  // it did see it
    for (std::size_t i = 0; i < kRouters; ++i)
        CHECK(z1_of(fleet, i).epoch == 0 && z1_of(fleet, i).out == 0);
    CHECK(fleet.counters(1)["failover.sent_out_of_zone"] == 0);
    load.check(farm);
}

// One router cut off from all others: it serves near, and does not fail its zone over, even if it loses sight
// of its servers as well.
void cut_off() {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm)};
    Load load{fleet, {0, 1, 4}};
    begin(fleet, load);
    for (std::size_t b = 1; b < kRouters; ++b)
        fleet.relay().set_both(0, b, {.cut = true});
    const auto cut = std::chrono::steady_clock::now();
    // Nobody confirms its suspicions, so each lasts the 6 s of the settings, and its probes, every 250 ms,
    // come up to nine times as seldom as they fail: the one that ends the majority may begin some 6 s after
    // the cut.
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return fleet.counters(0)["failover.quorum"] == 0;
        },
        13s));
    std::printf("cut off: it knows that it is alone after %lld ms\n", since(cut));
    CHECK(load.served() == load.asked());
    for (const auto k : kOfZ1)
        farm.set_link(k, 0, false);
    const auto blind = std::chrono::steady_clock::now();
    fleet.wait_until(
        [&] {
            load.ask();
            return since(blind) > 4000;
        },
        5s);
    CHECK(fleet.counters(0)["failover.health"] == 0);
    for (std::size_t i = 0; i < kRouters; ++i)
        CHECK(z1_of(fleet, i).epoch == 0);
    for (const auto k : kOfZ1)
        farm.set_link(k, 0, true);
    fleet.relay().clear();
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return fleet.agree() && fleet.counters(0)["failover.quorum"] == 1;
        },
        8s));
    for (std::size_t i = 0; i < kRouters; ++i)
        CHECK(z1_of(fleet, i).epoch == 0);
    CHECK(fleet.counters(0)["failover.sent_out_of_zone"] == 0);
    load.check(farm);
}

// The router whose turn it is to write the decision falls out right when it is due.
void decider(int how) {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm)};
    Load load{fleet, {0, 1, 2, 3, 4, 5}};
    begin(fleet, load);
    cluster::FailoverSettings s;
    s.zones = {{"z1", "r1", 3}, {"z2", "r1", 3}, {"z3", "r2", 3}};
    std::map<std::string, std::string> alive;
    for (std::size_t i = 0; i < kRouters; ++i)
        alive[Fleet::name(i)] = std::string{"z"}.append(std::to_string(1 + i / 3));
    const auto first = cluster::Failover{"m0", "z1", s}.writers("z1", 1, alive).front();
    const auto who = static_cast<std::size_t>(std::stoul(first.substr(1)));
    load.routers.erase(std::remove(load.routers.begin(), load.routers.end(), who), load.routers.end());
    for (const auto k : kOfZ1)
        farm.set_server(k, false);
    const auto lost = std::chrono::steady_clock::now();
    load.ask();
    if (how == SIGKILL)
        fleet.kill(who);
    else
        fleet.signal(who, how);
    const std::vector<std::size_t> except{who};
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return all_have(fleet, 100, except);
        },
        3s));
    std::printf("decider %s lost: decided without it after %lld ms\n", first.c_str(), since(lost));
    const auto epoch = [&] {
        return z1_of(fleet, who == 1 ? 2 : 1).epoch;
    };
    CHECK(epoch() == 1);
    if (how == SIGSTOP) {
        fleet.wait_until([] { return false; }, 1s);
        fleet.signal(who, SIGCONT);
        CHECK(fleet.wait_until([&] { return all_have(fleet, 100); }, 3s));
    }
    // Once: nothing further is decided, by nobody who woke or came late.
    const auto settled = std::chrono::steady_clock::now();
    fleet.wait_until(
        [&] {
            load.ask();
            return since(settled) > 3000;
        },
        4s);
    for (std::size_t i = 0; i < kRouters; ++i)
        if (fleet.running(i))
            CHECK(z1_of(fleet, i).epoch == 1 && z1_of(fleet, i).to == "z2=100");
    load.check(farm);
}
void decider_killed() {
    decider(SIGKILL);
}
void decider_stopped() {
    decider(SIGSTOP);
}

// Servers that come and go faster than the hold-down: one change in each at the most.
void flapping() {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm)};
    Load load{fleet, {0, 1, 2}};
    begin(fleet, load);
    const auto began = std::chrono::steady_clock::now();
    fleet.wait_until(
        [&] {
            for (const auto k : kOfZ1)
                farm.set_server(k, since(began) / 700 % 2 == 1);
            load.ask();
            return since(began) > 12'000;
        },
        14s);
    const auto span = since(began);
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < kRouters; ++i) {
        const auto changes = fleet.counters(i)["failover.changes"];
        most = std::max(most, changes);
        CHECK(changes <= static_cast<std::uint64_t>(span) / 2000 + 1);
    }
    CHECK(most >= 1);
    std::printf("flapping: %llu changes in %lld ms\n", static_cast<unsigned long long>(most), span);
    load.check(farm);
}

// By hand, on any router: out, and back in steps; over a restart of a router.
void pinned() {
    lab::Farm farm{kStore + 1, kRouters};
    Fleet fleet{placed(farm)};
    Load load{fleet, {0, 1, 2, 3}};
    begin(fleet, load);
    CHECK(fleet.call(8, "PIN z9 OUT").rfind("NAK", 0) == 0);
    CHECK(ack(fleet.call(8, "PIN z1 OUT")));
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return all_have(fleet, 100);
        },
        3s));
    for (std::size_t i = 0; i < kRouters; ++i)
        CHECK(z1_of(fleet, i).pin == "out");
    const auto out = std::chrono::steady_clock::now();
    for (int i = 0; i < 10; ++i)
        load.ask();
    CHECK(farm.asked_since(kOfZ1, out) == 0 && load.served() == load.asked());
    fleet.kill(1);
    fleet.start(1);
    CHECK(fleet.wait_until([&] { return fleet.agree() && all_have(fleet, 100); }, 5s));
    const auto restarted = std::chrono::steady_clock::now();
    for (int i = 0; i < 10; ++i)
        load.ask();
    CHECK(farm.asked_since(kOfZ1, restarted) == 0);
    CHECK(ack(fleet.call(1, "PIN z1 OFF")));
    CHECK(fleet.wait_until(
        [&] {
            load.ask();
            return all_have(fleet, 0);
        },
        15s));
    CHECK(z1_of(fleet, 4).epoch == 5);
    load.check(farm);
}

}  // namespace

int main(int argc, char** argv) {
    return play(argc, argv,
                {{"zone_lost", zone_lost},
                 {"flaky_link", flaky_link},
                 {"cut_off", cut_off},
                 {"decider_killed", decider_killed},
                 {"decider_stopped", decider_stopped},
                 {"flapping", flapping},
                 {"pinned", pinned}});
}

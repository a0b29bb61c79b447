// Failover with real processes: nine routers in three zones of two regions, in front of stand-in servers,
// with faults on the links. Every request must get exactly one response, and no write may be executed twice.
#include "cluster/failover/failover.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <functional>
#include <map>
#include <sstream>
#include <utility>

#include "common.h"

namespace {

constexpr std::size_t kRouters = 9;
constexpr std::size_t kRoutersPerZone = 3;
constexpr std::size_t kServersPerZone = 4;
constexpr std::size_t kOrigin = 3 * kServersPerZone;  // its index in the pool
const std::vector<std::size_t> kServersOfZ1{0, 1, 2, 3};
constexpr auto kHoldDown = 2000ms;

std::string zone_name(std::size_t index) {
    return std::string{"z"}.append(std::to_string(1 + index));
}

Json::Value failover_settings() {
    Json::Value settings;
    settings["hold_ms"] = Json::Int64{kHoldDown.count()};
    settings["slot_ms"] = 250;
    for (std::size_t zone = 0; zone < 3; ++zone) {
        Json::Value json;
        json["name"] = zone_name(zone);
        json["region"] = zone < 2 ? "r1" : "r2";
        json["routers"] = Json::UInt64{kRoutersPerZone};
        settings["zones"].append(json);
    }
    return settings;
}

std::vector<lab::FleetServer> server_list(const StandInServerPool& servers, std::size_t router, int weight) {
    std::vector<lab::FleetServer> list;
    for (std::size_t server = 0; server < kOrigin; ++server)
        list.push_back({lab::server_id(server), servers.address(server, router),
                        zone_name(server / kServersPerZone), "small-box", "active", weight});
    list.push_back({"store", servers.address(kOrigin, router), "north", "origin", "active", 10});
    return list;
}

// m0 to m2 are in z1, m3 to m5 in z2, both in region r1; m6 to m8 are in z3 of r2. `slow_start`: servers that
// have just started may get only few requests.
lab::FleetOptions options_with(const StandInServerPool& servers, bool slow_start = false) {
    auto options = fleet_options(kRouters);
    options.peers["failover"] = failover_settings();
    for (std::size_t router = 0; router < kRouters; ++router)
        options.locations.push_back({zone_name(router / kRoutersPerZone), router < 6 ? "r1" : "r2"});
    const int weight = slow_start ? 2 : 10;
    options.servers = [&servers, weight](std::size_t router) {
        return server_list(servers, router, weight);
    };
    if (slow_start) {
        options.slow_start["cold-from"] = 0.26;
        options.slow_start["cold"] = Json::Int64{14'000'000'000};
        options.slow_start["tip-multiple"] = 2;
        options.slow_start["fall"] = Json::Int64{3'000'000'000};
        options.cache_settings["one-flow-kb-per-s"] = 100;
    }
    return options;
}

// A zone as reported by a router's response to FAILOVER.
struct ZoneView {
    std::string health;
    std::string target;
    std::string override_value;
    std::uint64_t epoch = 0;
    int moved_percent = -1;  // -1: no response
};

ZoneView z1_seen_by(RouterFleet& fleet, std::size_t router) {
    std::istringstream lines{fleet.control(router, "FAILOVER")};
    std::string line, name, region, routers;
    ZoneView view;
    while (std::getline(lines, line)) {
        std::istringstream fields{line};
        if (fields >> name >> region >> routers && name == "z1") {
            fields >> view.health >> view.epoch >> view.moved_percent >> view.target >> view.override_value;
            return view;
        }
    }
    return view;
}

// The load from clients of some of the routers.
struct Load {
    RouterFleet& fleet;
    std::vector<std::size_t> routers;
    std::size_t requests_each = 2;
    std::map<int, std::size_t> reads{};  // by status
    std::map<int, std::size_t> writes{};
    std::uint64_t object = 0;

    // Sends reads to each running router, and a write to some of them.
    void send() {
        for (const auto router : routers) {
            if (!fleet.running(router))
                continue;
            for (std::size_t i = 0; i < requests_each; ++i)
                ++reads[fleet.request(router, "pages", ++object)];
            if (++object % 5 == 0)
                ++writes[fleet.request(router, "lodge", object)];
        }
    }
    // Each request must have got exactly one response of any status; none and two are both faults.
    void check(const StandInServerPool& servers) const {
        for (const auto* all : {&reads, &writes})
            for (const auto& [status, count] : *all)
                if (status <= 0) {
                    std::fprintf(stderr, "%zu requests with %s\n", count,
                                 status < 0 ? "two responses" : "no response");
                    CHECK(false);
                }
        const auto executions = servers.write_executions();
        CHECK(!executions.empty() && writes.contains(200) && executions.size() >= writes.at(200));
        for (const auto& [id, times] : executions)
            CHECK(times == 1);
    }
    std::size_t served_reads() const {
        const auto served = reads.find(200);
        return served == reads.end() ? 0 : served->second;
    }
    std::size_t all_reads() const {
        std::size_t count = 0;
        for (const auto& [status, number] : reads)
            count += number;
        return count;
    }
};

// Sends load until `condition` holds; false if it does not within `timeout`.
bool load_until(RouterFleet& fleet, Load& load, const std::function<bool()>& condition,
                std::chrono::milliseconds timeout) {
    return fleet.wait_until(
        [&] {
            load.send();
            return condition();
        },
        timeout);
}

void load_for(RouterFleet& fleet, Load& load, std::chrono::milliseconds span) {
    const auto start_time = TestClock::now();
    load_until(fleet, load, [&] { return ms_since(start_time) > span.count(); }, span + 1s);
}

// Every running router except those in `left_out` has moved `percent` of z1's requests.
bool all_moved(RouterFleet& fleet, int percent, const std::vector<std::size_t>& left_out = {}) {
    for (std::size_t router = 0; router < kRouters; ++router)
        if (fleet.running(router) && std::find(left_out.begin(), left_out.end(), router) == left_out.end() &&
            z1_seen_by(fleet, router).moved_percent != percent)
            return false;
    return true;
}

// True if no router knows of a decision on z1; else prints each one's view and log.
bool no_decision_on_z1(RouterFleet& fleet) {
    bool none = true;
    for (std::size_t router = 0; router < kRouters; ++router)
        none = none && z1_seen_by(fleet, router).epoch == 0;
    for (std::size_t router = 0; !none && router < kRouters; ++router)
        std::fprintf(stderr, "%s sees\n%s%s", lab::member_name(router).c_str(),
                     fleet.control(router, "FAILOVER").c_str(), fleet.log(router).c_str());
    return none;
}

void set_z1_up(StandInServerPool& servers, bool up) {
    for (const auto server : kServersOfZ1)
        servers.set_server_up(server, up);
}

void set_m0_links_up(StandInServerPool& servers, bool up) {
    for (const auto server : kServersOfZ1)
        servers.set_link_up(server, 0, up);
}

// Starts all routers and waits until each knows the health of z1.
void start(RouterFleet& fleet, Load& load) {
    start_all(fleet, 0, kRouters);
    CHECK(all_agree(fleet, 5s));
    CHECK(load_until(
        fleet, load,
        [&] {
            for (std::size_t router = 0; router < kRouters; ++router)
                if (z1_seen_by(fleet, router).health != "100/100")
                    return false;
            return true;
        },
        5s));
    CHECK(load.served_reads() == load.all_reads() && all_moved(fleet, 0));
}

std::uint64_t failed_connects(RouterFleet& fleet) {
    return fleet.counters(0)["ending_no_connection"] + fleet.counters(1)["ending_no_connection"];
}

// After the decision no router sends requests to the lost zone, and all requests are served within the
// region.
void check_moved_away(RouterFleet& fleet, Load& load) {
    CHECK(z1_seen_by(fleet, 0).target == "z2=100" && z1_seen_by(fleet, 5).epoch == 1);
    const auto connects_before = failed_connects(fleet);
    const auto served_before = load.served_reads();
    const auto all_before = load.all_reads();
    for (int i = 0; i < 10; ++i)
        load.send();
    CHECK(load.served_reads() - served_before == load.all_reads() - all_before);
    CHECK(failed_connects(fleet) == connects_before);
    CHECK(fleet.counters(0)["failover.sent_out_of_zone"] > 0);
    CHECK(fleet.counters(0)["failover.sent_out_of_region"] == 0);
}

// A change of the share of z1's requests that is moved.
struct Step {
    int moved_percent;
    TestClock::time_point seen_at;
};

// The steps from 100 per cent to 0, as m0 sees them.
std::vector<Step> follow_recovery(RouterFleet& fleet, Load& load, TestClock::time_point lost) {
    std::vector<Step> steps{{100, lost}};
    CHECK(load_until(
        fleet, load,
        [&] {
            const int moved = z1_seen_by(fleet, 0).moved_percent;
            if (moved != steps.back().moved_percent)
                steps.push_back({moved, TestClock::now()});
            return moved == 0 && all_moved(fleet, 0);
        },
        25s));
    return steps;
}

// The first step returns a quarter, the next ones follow as the servers warm up, and none moves requests out
// again; each comes at least a hold-down after the one before.
void check_steps(const std::vector<Step>& steps) {
    CHECK(steps.size() >= 4 && steps[1].moved_percent == 75);
    for (std::size_t i = 2; i < steps.size(); ++i) {
        const Step& before = steps[i - 1];
        CHECK(steps[i].moved_percent < before.moved_percent &&
              steps[i].moved_percent >= before.moved_percent - 25 &&
              steps[i].seen_at - before.seen_at > kHoldDown - 300ms);
    }
}

// A server that has just started may get in 3 s: as many requests of 0.25 s as twice its weight times its
// warm share at the end serves, and by chance slightly more. It counts as started with its first request.
// Returns the largest number that a server got in 3 s.
std::size_t check_slow_start(const std::vector<lab::ReceivedRequest>& received, TestClock::time_point up) {
    std::size_t most = 0;
    for (const auto server : kServersOfZ1) {
        std::vector<TestClock::time_point> times;
        for (const auto& request : received)
            if (request.server == server && request.received_at > up)
                times.push_back(request.received_at);
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > 3s)
                ++first;
            const double running_s = std::chrono::duration<double>(times[last] - times.front()).count();
            const double warm = std::min(1.0, running_s / 14);
            const double allowed = 2 * 2 * (0.26 + 0.74 * warm) * 3 / 0.25;
            most = std::max(most, last - first + 1);
            CHECK(static_cast<double>(last - first + 1) <= allowed + 3 * std::sqrt(allowed) + 3);
        }
    }
    return most;
}

// All servers of a zone are lost: one decision takes effect on all routers within 2 s, and no more requests
// go there. When the servers return, the requests return in steps, and no cold server gets more than it
// bears.
void zone_lost() {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers, true)};
    Load load{fleet, {0, 1, 2, 3}, 4};
    start(fleet, load);
    const auto received_before_fault = servers.received();
    CHECK(std::none_of(received_before_fault.begin(), received_before_fault.end(),
                       [](const lab::ReceivedRequest& request) {
                           return request.server != kOrigin &&
                                  request.server / kServersPerZone != request.router / kRoutersPerZone;
                       }));
    set_z1_up(servers, false);
    const auto lost = TestClock::now();
    CHECK(load_until(fleet, load, [&] { return all_moved(fleet, 100); }, 2s));
    std::printf("zone lost: decision in effect on all nine routers after %lld ms\n", ms_since(lost));
    check_moved_away(fleet, load);
    set_z1_up(servers, true);
    const auto up = TestClock::now();
    const auto steps = follow_recovery(fleet, load, lost);
    check_steps(steps);
    // m0 may have seen the step up to one polling interval after it took effect.
    const auto received = servers.received();
    const auto early = std::count_if(received.begin(), received.end(), [&](const auto& request) {
        return request.server < kServersPerZone && request.received_at > lost + 2s &&
               request.received_at < steps[1].seen_at - 500ms;
    });
    CHECK(early == 0);
    const std::size_t most = check_slow_start(received, up);
    std::printf(
        "zone lost: back in %zu steps over %lld ms, at most %zu requests to a server in 3 s; %zu of %zu "
        "served\n",
        steps.size() - 1, ms_since(up), most, load.served_reads(), load.all_reads());
    load.check(servers);
}

// One router's links to all of its zone's servers are down most of the time: no failover.
void flaky_link() {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers)};
    Load load{fleet, {0, 1, 2, 4}};
    start(fleet, load);
    const auto start_time = TestClock::now();
    bool up = false;
    fleet.wait_until(
        [&] {
            set_m0_links_up(servers, up);
            up = !up && ms_since(start_time) % 5 == 0;  // down most of the time
            load.send();
            return ms_since(start_time) > 6000;
        },
        8s);
    CHECK(fleet.counters(0)["ending_no_connection"] > 5);  // the faults took effect
    for (std::size_t router = 0; router < kRouters; ++router)
        CHECK(z1_seen_by(fleet, router).epoch == 0 && z1_seen_by(fleet, router).moved_percent == 0);
    CHECK(fleet.counters(1)["failover.sent_out_of_zone"] == 0);
    load.check(servers);
}

// One router is cut off from all others: it serves from its own zone and does not fail the zone over, even if
// it loses the links to its servers as well.
void cut_off() {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers)};
    Load load{fleet, {0, 1, 4}};
    start(fleet, load);
    partition_at(fleet, 1);
    const auto cut = TestClock::now();
    // No other member confirms its suspicions, so each lasts the full 6 s of the settings; and failing probes
    // slow its probing, one every 250 ms, down by a factor of up to nine. So the suspicion that ends the
    // majority may begin about 6 s after the cut.
    CHECK(load_until(fleet, load, [&] { return fleet.counters(0)["failover.quorum"] == 0; }, 13s));
    std::printf("cut off: quorum lost after %lld ms\n", ms_since(cut));
    CHECK(load.served_reads() == load.all_reads());
    set_m0_links_up(servers, false);
    load_for(fleet, load, 4000ms);
    CHECK(fleet.counters(0)["failover.health"] == 0);
    CHECK(no_decision_on_z1(fleet));
    set_m0_links_up(servers, true);
    fleet.proxy().clear_faults();
    CHECK(load_until(
        fleet, load, [&] { return fleet.agree() && fleet.counters(0)["failover.quorum"] == 1; }, 8s));
    CHECK(no_decision_on_z1(fleet));
    CHECK(fleet.counters(0)["failover.sent_out_of_zone"] == 0);
    load.check(servers);
}

// The router whose turn it is to write the first decision on z1.
std::size_t first_writer() {
    cluster::FailoverSettings settings;
    settings.zones = {{"z1", "r1", 3}, {"z2", "r1", 3}, {"z3", "r2", 3}};
    std::map<std::string, std::string> alive;
    for (std::size_t router = 0; router < kRouters; ++router)
        alive[lab::member_name(router)] = zone_name(router / kRoutersPerZone);
    const auto name = cluster::Failover{"m0", "z1", settings}.writer_order("z1", 1, alive).front();
    return static_cast<std::size_t>(std::stoul(name.substr(1)));
}

// The router whose turn it is to write the decision fails just when the decision is due.
void writer_lost(int signal) {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers)};
    Load load{fleet, {0, 1, 2, 3, 4, 5}};
    start(fleet, load);
    const auto writer = first_writer();
    std::erase(load.routers, writer);
    set_z1_up(servers, false);
    const auto lost = TestClock::now();
    load.send();
    if (signal == SIGKILL)
        fleet.kill(writer);
    else
        fleet.signal(writer, signal);
    CHECK(load_until(fleet, load, [&] { return all_moved(fleet, 100, {writer}); }, 3s));
    std::printf("writer m%zu lost: decision without it after %lld ms\n", writer, ms_since(lost));
    CHECK(z1_seen_by(fleet, writer == 1 ? 2 : 1).epoch == 1);
    if (signal == SIGSTOP) {
        fleet.wait_for(1s);
        fleet.signal(writer, SIGCONT);
        CHECK(fleet.wait_until([&] { return all_moved(fleet, 100); }, 3s));
    }
    // The decision is written once: no router that continues or is late writes another.
    load_for(fleet, load, 3000ms);
    for (std::size_t router = 0; router < kRouters; ++router)
        if (fleet.running(router))
            CHECK(z1_seen_by(fleet, router).epoch == 1 && z1_seen_by(fleet, router).target == "z2=100");
    load.check(servers);
}

void writer_killed() {
    writer_lost(SIGKILL);
}

void writer_stopped() {
    writer_lost(SIGSTOP);
}

// Servers fail and return faster than the hold-down: at most one change per hold-down.
void flapping() {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers)};
    Load load{fleet, {0, 1, 2}};
    start(fleet, load);
    const auto start_time = TestClock::now();
    fleet.wait_until(
        [&] {
            set_z1_up(servers, ms_since(start_time) / 700 % 2 == 1);
            load.send();
            return ms_since(start_time) > 12'000;
        },
        14s);
    const auto span_ms = ms_since(start_time);
    std::uint64_t most = 0;
    for (std::size_t router = 0; router < kRouters; ++router) {
        const auto changes = fleet.counters(router)["failover.changes"];
        most = std::max(most, changes);
        CHECK(changes <= static_cast<std::uint64_t>(span_ms / kHoldDown.count()) + 1);
    }
    CHECK(most >= 1);
    std::printf("flapping: %llu changes in %lld ms\n", static_cast<unsigned long long>(most), span_ms);
    load.check(servers);
}

// An operator's override on any router moves the zone's requests, and they return in steps after it; it
// survives a restart of a router.
void zone_override() {
    StandInServerPool servers{kOrigin + 1, kRouters};
    RouterFleet fleet{options_with(servers)};
    Load load{fleet, {0, 1, 2, 3}};
    start(fleet, load);
    CHECK(refused(fleet.control(8, "PIN z9 OUT")));
    CHECK(accepted(fleet.control(8, "PIN z1 OUT")));
    CHECK(load_until(fleet, load, [&] { return all_moved(fleet, 100); }, 3s));
    for (std::size_t router = 0; router < kRouters; ++router)
        CHECK(z1_seen_by(fleet, router).override_value == "out");
    const auto moved = TestClock::now();
    for (int i = 0; i < 10; ++i)
        load.send();
    CHECK(servers.received_since(kServersOfZ1, moved) == 0 && load.served_reads() == load.all_reads());
    fleet.kill(1);
    fleet.start(1);
    CHECK(fleet.wait_until([&] { return fleet.agree() && all_moved(fleet, 100); }, 5s));
    const auto restarted = TestClock::now();
    for (int i = 0; i < 10; ++i)
        load.send();
    CHECK(servers.received_since(kServersOfZ1, restarted) == 0);
    CHECK(accepted(fleet.control(1, "PIN z1 OFF")));
    CHECK(load_until(fleet, load, [&] { return all_moved(fleet, 0); }, 15s));
    CHECK(z1_seen_by(fleet, 4).epoch == 5);
    load.check(servers);
}

}  // namespace

int main(int argc, char** argv) {
    return run_scenario(argc, argv,
                        {{"zone_lost", zone_lost},
                         {"flaky_link", flaky_link},
                         {"cut_off", cut_off},
                         {"writer_killed", writer_killed},
                         {"writer_stopped", writer_stopped},
                         {"flapping", flapping},
                         {"zone_override", zone_override}});
}

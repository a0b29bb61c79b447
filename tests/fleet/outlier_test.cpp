// What the members of a fleet of real processes share about servers: outliers that several of them found, and
// drains that only some were told of.
#include <cstdint>
#include <string>
#include <vector>

#include "common.h"

namespace {

constexpr std::size_t kRouters = 8;
constexpr std::size_t kServers = 6;
constexpr std::size_t kOutlier = 1;
constexpr std::size_t kDraining = 2;

// Members below `first_uninformed` have the draining server listed as leaving.
lab::FleetOptions options_before(const StandInServerPool& servers, std::size_t first_uninformed) {
    auto options = fleet_options(kRouters);
    options.servers = [&servers, first_uninformed](std::size_t router) {
        std::vector<lab::FleetServer> list;
        for (std::size_t server = 0; server < kServers; ++server) {
            lab::FleetServer listed;
            listed.id = lab::server_id(server);
            listed.address = servers.address(server, router);
            listed.zone = "edge-1";
            listed.state = server == kDraining && router < first_uninformed ? "leaving" : "active";
            list.push_back(listed);
        }
        return list;
    };
    return options;
}

// Members `from` to below `to` get `count` requests each; each has to be served, once. Every request is for
// another object, as a router has copies of its own.
void request_from(RouterFleet& fleet, std::size_t from, std::size_t to, std::uint64_t count) {
    static std::uint64_t object = 0;
    for (std::size_t router = from; router < to; ++router)
        for (std::uint64_t i = 0; i < count; ++i)
            CHECK(fleet.request(router, "pages", ++object) == 200);
}

// Whether each router but the first two keeps `count` servers out by the others' reports.
bool others_hold_out(RouterFleet& fleet, std::uint64_t count) {
    return all_count(fleet, "hearsay.out", count, 2);
}

// One router that loses its link to a server keeps away by itself, and the others go on.
void check_one_reporter(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 0, false);
    request_from(fleet, 0, 1, 60);
    CHECK(fleet.wait_until([&] { return fleet.counters(7)["reports.keys"] >= 1; }, 2s));
    const auto reported = TestClock::now();
    request_from(fleet, 1, kRouters, 40);
    CHECK(servers.received_since({kOutlier}, reported) > 7);
    for (std::size_t router = 1; router < kRouters; ++router)
        CHECK(fleet.counters(router)["hearsay.held_out"] == 0);
}

// A second one that loses it too: now it is more than one link, and nobody sends there.
void check_two_reporters(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 1, false);
    request_from(fleet, 1, 2, 60);
    const auto reported = TestClock::now();
    CHECK(fleet.wait_until([&] { return others_hold_out(fleet, 1); }, 2s));
    std::printf("learned: the other six keep away after %lld ms\n", ms_since(reported));
    const auto held_out = TestClock::now();
    request_from(fleet, 2, kRouters, 40);
    CHECK(servers.received_since({kOutlier}, held_out) == 0);
}

// Both links back: trials succeed, the reports are withdrawn, and the server is used again.
void check_recovery(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 0, true);
    servers.set_link_up(kOutlier, 1, true);
    CHECK(fleet.wait_until(
        [&] {
            request_from(fleet, 0, 2, 20);
            return others_hold_out(fleet, 0);
        },
        12s));
    const auto back = TestClock::now();
    request_from(fleet, 2, kRouters, 60);
    CHECK(servers.received_since({kOutlier}, back) > 6);
}

// The report of a router that is killed ends with it.
void check_killed_reporter(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 0, false);
    servers.set_link_up(kOutlier, 1, false);
    request_from(fleet, 0, 2, 60);
    CHECK(fleet.wait_until([&] { return others_hold_out(fleet, 1); }, 2s));
    fleet.kill(0);
    CHECK(fleet.wait_until([&] { return others_hold_out(fleet, 0); }, 8s));
}

// An outlier that two routers report is held out by the others; what one reports moves nobody.
void learned() {
    StandInServerPool servers{kServers, kRouters};
    RouterFleet fleet{options_before(servers, 0)};
    start_all(fleet, 0, kRouters);
    CHECK(all_agree(fleet, 3s));
    request_from(fleet, 0, kRouters, 40);
    CHECK(servers.received_since({kOutlier}, {}) > 8);
    check_one_reporter(fleet, servers);
    check_two_reporters(fleet, servers);
    check_recovery(fleet, servers);
    check_killed_reporter(fleet, servers);
}

// Two routers were told that a server drains, the others were not yet: nothing new goes there from any.
void drains() {
    StandInServerPool servers{kServers, kRouters};
    RouterFleet fleet{options_before(servers, 2)};
    start_all(fleet, 0, kRouters);
    const auto began = TestClock::now();
    CHECK(fleet.wait_until([&] { return others_hold_out(fleet, 1); }, 5s));
    std::printf("drains: held out by all %lld ms after the start\n", ms_since(began));
    const auto held_out = TestClock::now();
    request_from(fleet, 0, kRouters, 40);
    CHECK(servers.received_since({kDraining}, held_out) == 0 &&
          servers.received_since({0, 1, 3, 4, 5}, held_out) == kRouters * 40);
}

}  // namespace

int main(int argc, char** argv) {
    return play(argc, argv, {{"learned", learned}, {"drains", drains}});
}

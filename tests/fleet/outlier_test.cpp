// Shared outlier detection in a fleet of real processes: outliers that several routers detect, and a draining
// server that only some routers have in their server list as leaving.
#include <cstdint>
#include <string>
#include <vector>

#include "common.h"

namespace {

constexpr std::size_t kRouters = 8;
constexpr std::size_t kServers = 6;
constexpr std::size_t kOutlier = 1;
constexpr std::size_t kDraining = 2;

// The server list of routers below `first_without_drain` has the draining server as leaving.
lab::FleetOptions options_with_draining_server(const StandInServerPool& servers,
                                               std::size_t first_without_drain) {
    auto options = fleet_options(kRouters);
    options.servers = [&servers, first_without_drain](std::size_t router) {
        std::vector<lab::FleetServer> list;
        for (std::size_t server = 0; server < kServers; ++server) {
            lab::FleetServer listed;
            listed.id = lab::server_id(server);
            listed.address = servers.address(server, router);
            listed.zone = "edge-1";
            listed.state = server == kDraining && router < first_without_drain ? "leaving" : "active";
            list.push_back(listed);
        }
        return list;
    };
    return options;
}

// Sends `count` requests to each router from `from` to below `to`; each must get status 200. Every request is
// for a new object, because routers have a cache.
void request_from(RouterFleet& fleet, std::size_t from, std::size_t to, std::uint64_t count) {
    static std::uint64_t object = 0;
    for (std::size_t router = from; router < to; ++router)
        for (std::uint64_t i = 0; i < count; ++i)
            CHECK(fleet.request(router, "pages", ++object) == 200);
}

// True if each router but the first two ejects `count` servers because of the others' reports.
bool others_have_ejected(RouterFleet& fleet, std::uint64_t count) {
    return all_counters_equal(fleet, "hearsay.out", count, 2);
}

// If one router loses its link to a server, it stops using the server, and the other routers continue.
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

// If a second router loses its link too, the two reports are a quorum, and no router uses the server.
void check_two_reporters(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 1, false);
    request_from(fleet, 1, 2, 60);
    const auto reported = TestClock::now();
    CHECK(fleet.wait_until([&] { return others_have_ejected(fleet, 1); }, 2s));
    std::printf("shared_outlier: ejected by the other six routers after %lld ms\n", ms_since(reported));
    const auto ejected = TestClock::now();
    request_from(fleet, 2, kRouters, 40);
    CHECK(servers.received_since({kOutlier}, ejected) == 0);
}

// With both links restored, trial requests succeed, the reports are withdrawn, and the server is used again.
void check_recovery(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 0, true);
    servers.set_link_up(kOutlier, 1, true);
    CHECK(fleet.wait_until(
        [&] {
            request_from(fleet, 0, 2, 20);
            return others_have_ejected(fleet, 0);
        },
        12s));
    const auto restored = TestClock::now();
    request_from(fleet, 2, kRouters, 60);
    CHECK(servers.received_since({kOutlier}, restored) > 6);
}

// The report of a killed router no longer counts.
void check_killed_reporter(RouterFleet& fleet, StandInServerPool& servers) {
    servers.set_link_up(kOutlier, 0, false);
    servers.set_link_up(kOutlier, 1, false);
    request_from(fleet, 0, 2, 60);
    CHECK(fleet.wait_until([&] { return others_have_ejected(fleet, 1); }, 2s));
    fleet.kill(0);
    CHECK(fleet.wait_until([&] { return others_have_ejected(fleet, 0); }, 8s));
}

// An outlier reported by two routers is ejected by the others; a report by one router ejects no server.
void shared_outlier() {
    StandInServerPool servers{kServers, kRouters};
    RouterFleet fleet{options_with_draining_server(servers, 0)};
    start_all(fleet, 0, kRouters);
    CHECK(all_agree(fleet, 3s));
    request_from(fleet, 0, kRouters, 40);
    CHECK(servers.received_since({kOutlier}, {}) > 8);
    check_one_reporter(fleet, servers);
    check_two_reporters(fleet, servers);
    check_recovery(fleet, servers);
    check_killed_reporter(fleet, servers);
}

// Two of the routers have a server listed as leaving: no router sends it new requests.
void shared_drain() {
    StandInServerPool servers{kServers, kRouters};
    RouterFleet fleet{options_with_draining_server(servers, 2)};
    start_all(fleet, 0, kRouters);
    const auto began = TestClock::now();
    CHECK(fleet.wait_until([&] { return others_have_ejected(fleet, 1); }, 5s));
    std::printf("shared_drain: ejected by the other routers %lld ms after the start\n", ms_since(began));
    const auto ejected = TestClock::now();
    request_from(fleet, 0, kRouters, 40);
    CHECK(servers.received_since({kDraining}, ejected) == 0 &&
          servers.received_since({0, 1, 3, 4, 5}, ejected) == kRouters * 40);
}

}  // namespace

int main(int argc, char** argv) {
    return run_scenario(argc, argv, {{"shared_outlier", shared_outlier}, {"shared_drain", shared_drain}});
}

// Shared by the tests with a fleet of real processes. A test program has several scenarios and runs the one
// that its first argument names, so that ctest can run them in parallel.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "../silverrail/check.h"
#include "lab/router_fleet.h"
#include "lab/server_pool.h"

using namespace silverrail;
using namespace std::chrono_literals;
using lab::RouterFleet;
using lab::StandInServerPool;

using TestClock = std::chrono::steady_clock;

// Probes every 250 ms; a suspicion lasts at least 3 s (12 * 250 ms) and at most 6 s: a member that stalls for
// 3 s is not declared dead, a crashed one is within 5 s.
inline lab::FleetOptions fleet_options(std::size_t members) {
    lab::FleetOptions options;
    options.members = members;
    options.program = SILVERRAIL_PROGRAM;
    options.seed = 7;
    options.peers["probe_ms"] = 250;
    options.peers["probe_timeout_ms"] = 100;
    options.peers["push_pull_ms"] = 1000;
    options.peers["dead_keep_ms"] = 30000;
    options.peers["suspicion_mult"] = 12;
    options.peers["suspicion_max_mult"] = 2;
    options.peers["replica_ms"] = 250;
    return options;
}

// Starts the members from `from` up to, but not including, `to`.
inline void start_all(RouterFleet& fleet, std::size_t from, std::size_t to) {
    for (std::size_t member = from; member < to; ++member)
        fleet.start(member);
}

// Cuts the links between the members below `border` and the others.
inline void partition_at(RouterFleet& fleet, std::size_t border) {
    for (std::size_t a = 0; a < border; ++a)
        for (std::size_t b = border; b < fleet.members(); ++b)
            fleet.proxy().set_faults_both_ways(a, b, {.cut = true});
}

inline std::size_t occurrences(const std::string& string, const std::string& substring) {
    std::size_t count = 0;
    for (auto at = string.find(substring); at != std::string::npos; at = string.find(substring, at + 1))
        ++count;
    return count;
}

// Whether a control command was accepted or refused, by its response.
inline bool accepted(const std::string& response) {
    return response.starts_with("ACK");
}
inline bool refused(const std::string& response) {
    return response.starts_with("NAK");
}

inline long long ms_since(TestClock::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(TestClock::now() - start).count();
}

// True once all members see each other alive; after `timeout`, prints each member's view and log.
inline bool all_agree(RouterFleet& fleet, std::chrono::milliseconds timeout) {
    if (fleet.wait_until([&] { return fleet.agree(); }, timeout))
        return true;
    for (std::size_t member = 0; member < fleet.members(); ++member)
        if (fleet.running(member))
            std::fprintf(stderr, "%s sees\n%s%s", lab::member_name(member).c_str(),
                         fleet.control(member, "MEMBERS").c_str(), fleet.log(member).c_str());
    return false;
}

// True if the counter is `value` on every running member from `first` on.
inline bool all_counters_equal(RouterFleet& fleet, const std::string& counter, std::uint64_t value,
                               std::size_t first = 0) {
    for (std::size_t member = first; member < fleet.members(); ++member) {
        if (!fleet.running(member))
            continue;
        const auto counters = fleet.counters(member);
        const auto found = counters.find(counter);
        if (found == counters.end() || found->second != value)
            return false;
    }
    return true;
}

struct Scenario {
    const char* name;
    void (*run)();
};

// Runs the scenario that the first argument names. Returns the exit code.
inline int run_scenario(int argc, char** argv, const std::vector<Scenario>& scenarios) {
    for (const Scenario& scenario : scenarios)
        if (argc > 1 && std::strcmp(argv[1], scenario.name) == 0) {
            scenario.run();
            std::printf("fleet %s: passed\n", scenario.name);
            return 0;
        }
    std::fprintf(stderr, "the first argument must name a scenario\n");
    return 2;
}

// What the tests with a fleet of real processes have in common. A test's program has several scenarios; one
// run plays the one that its first argument names, so that ctest can run them side by side.
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

// Probes every 250 ms; a suspicion lasts 3 s at least (12 * 250 ms) and 6 s at most: a stall of 3 s is not a
// death, a crash is one within 5 s.
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

// Members `from` to below `to`.
inline void start_all(RouterFleet& fleet, std::size_t from, std::size_t to) {
    for (std::size_t member = from; member < to; ++member)
        fleet.start(member);
}

// Nothing passes between the members below `border` and the others.
inline void partition_at(RouterFleet& fleet, std::size_t border) {
    for (std::size_t a = 0; a < border; ++a)
        for (std::size_t b = border; b < fleet.members(); ++b)
            fleet.proxy().set_faults_both_ways(a, b, {.cut = true});
}

inline std::size_t occurrences(const std::string& text, const std::string& what) {
    std::size_t count = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
        ++count;
    return count;
}

// Whether a command on the control address was carried out, by its answer.
inline bool accepted(const std::string& answer) {
    return answer.starts_with("ACK");
}
inline bool refused(const std::string& answer) {
    return answer.starts_with("NAK");
}

inline long long ms_since(TestClock::time_point began) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(TestClock::now() - began).count();
}

// All members see each other alive within `timeout`; if not, prints what each sees and has logged.
inline bool all_agree(RouterFleet& fleet, std::chrono::milliseconds timeout) {
    if (fleet.wait_until([&] { return fleet.agree(); }, timeout))
        return true;
    for (std::size_t member = 0; member < fleet.members(); ++member)
        if (fleet.running(member))
            std::fprintf(stderr, "%s sees\n%s%s", lab::member_name(member).c_str(),
                         fleet.control(member, "MEMBERS").c_str(), fleet.log(member).c_str());
    return false;
}

// Every running member but those below `first` has `value` in the counter.
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

// Plays the scenario that the first argument names. Returns the exit code.
inline int run_scenario(int argc, char** argv, const std::vector<Scenario>& scenarios) {
    for (const Scenario& scenario : scenarios)
        if (argc > 1 && std::strcmp(argv[1], scenario.name) == 0) {
            scenario.run();
            std::printf("fleet %s: as it should be\n", scenario.name);
            return 0;
        }
    std::fprintf(stderr, "which scenario?\n");
    return 2;
}

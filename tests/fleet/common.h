// What the tests with a fleet of real processes have in common.
#pragma once

#include <cstdio>
#include <cstring>
#include <string>
#include <vector>

#include "../silverrail/check.h"
#include "lab/farm.h"
#include "lab/fleet.h"

using namespace silverrail;
using namespace std::chrono_literals;
using lab::Fleet;

// Probes every 250 ms; a suspicion waits 3 s at least (12 * 250 ms) and 6 s at most: a stall of 3 s is not
// a death, a crash is one within 5 s.
inline lab::Fleet::Options options(std::size_t members) {
    return {members, SILVERRAIL_PROGRAM,
            R"(,"probe_ms":250,"probe_timeout_ms":100,"push_pull_ms":1000,"dead_keep_ms":30000,)"
            R"("suspicion_mult":12,"suspicion_max_mult":2,"replica_ms":250)",
            7};
}

inline void start_all(Fleet& fleet, std::size_t from, std::size_t to) {
    for (std::size_t i = from; i < to; ++i)
        fleet.start(i);
}

inline std::size_t lines(const std::string& log, const std::string& what) {
    std::size_t n = 0;
    for (auto at = log.find(what); at != std::string::npos; at = log.find(what, at + 1))
        ++n;
    return n;
}

inline bool ack(const std::string& answer) {
    return answer.rfind("ACK", 0) == 0;
}

inline long long since(std::chrono::steady_clock::time_point began) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began)
        .count();
}

// One view on all; on failure what each saw is printed, as the cause can't be seen from outside.
inline bool agreed(Fleet& fleet, std::chrono::milliseconds most) {
    if (fleet.wait_until([&] { return fleet.agree(); }, most))
        return true;
    for (std::size_t i = 0; i < fleet.members(); ++i)
        if (fleet.running(i))
            std::fprintf(stderr, "%s sees\n%s%s", Fleet::name(i).c_str(), fleet.call(i, "MEMBERS").c_str(),
                         fleet.log(i).c_str());
    return false;
}

struct Scenario {
    const char* name;
    void (*run)();
};

// Plays the one that the first argument names.
inline int play(int argc, char** argv, const std::vector<Scenario>& scenarios) {
    for (const auto& s : scenarios)
        if (argc > 1 && std::strcmp(argv[1], s.name) == 0) {
            s.run();
            std::printf("fleet %s: as it should be\n", s.name);
            return 0;
        }
    std::fprintf(stderr, "which scenario?\n");
    return 2;
}

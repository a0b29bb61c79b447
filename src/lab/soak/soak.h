// One run of the soak: real routers under a schedule of faults, and the oracle's verdict.
#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "lab/soak/oracle.h"
#include "lab/soak/plan.h"
#include "lab/soak/router_processes.h"

namespace silverrail::lab::soak {

struct SoakOptions {
    PlanOptions plan;
    RouterProcesses::Programs programs;
    std::filesystem::path folder;  // of the routers' files
    std::size_t clients_per_router = 6;
    std::size_t crowd_per_router = 0;                   // connections that hold memory
    Millis longest_deadline = terms::kLongestDeadline;  // of all classes
    // Clients use open connections until the router has ended, and SIGKILL comes as early as it may.
    bool use_until_kill = false;
    bool judge_memory = false;  // for a program without sanitizers
    bool print_faults = false;  // as they begin, on standard output
};

struct SoakResult {
    std::vector<Violation> violations;
    std::size_t requests = 0;
    std::map<std::string, std::size_t> outcomes;  // the number of requests by outcome
    Moment began{};                               // when the schedule did
    Millis worst_lag{};                           // of this program itself
};

// Plays the whole run and ends every process that it started. Throws std::system_error where the machine
// lacks what it needs.
SoakResult run_soak(const SoakOptions& options);

}  // namespace silverrail::lab::soak

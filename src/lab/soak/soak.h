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

// One run of the soak: real routers under a schedule of troubles, and the oracle's verdict.
#pragma once

#include <filesystem>

#include "lab/soak/clients.h"
#include "lab/soak/discovery.h"
#include "lab/soak/plan.h"
#include "lab/soak/routers.h"

namespace silverrail::lab::soak {

struct SoakOptions {
    PlanOptions plan;
    Routers::Programs programs;
    std::filesystem::path folder;
    std::size_t clients_each = 6;
    bool tell_troubles = false;  // as they begin, on standard output
};

struct SoakResult {
    std::vector<Violation> violations;
    std::size_t requests = 0;
    std::map<std::string, std::size_t> outcomes;
    Moment began{};      // of the schedule
    Millis worst_lag{};  // of this program itself
};

// Plays the whole run and ends every process that it started. Throws std::system_error where the machine
// lacks what it needs.
SoakResult run_soak(const SoakOptions& options);

}  // namespace silverrail::lab::soak

// What a synthetic trace is made of.
#pragma once

#include <cstdint>
#include <stdexcept>

namespace silverrail::lab {

struct SyntheticTracePlan {
    static constexpr double kMaxRequests = 100e6;  // of all routers together

    double duration_s = 60;
    double requests_per_s = 950;  // at each router
    int routers = 1;
    double max_skew_ms = 0;    // routers' clocks differ from the true time by up to this, either way
    double max_drift_ppm = 0;  // and run fast or slow by up to this
    std::uint64_t seed = 1;
    // The second router is killed half-way and started again 3 s later; the new process writes a trace of its
    // own.
    bool restart = false;
    double purges_per_s = 0.6;
    std::int64_t begin_unix_ns = 1'764'576'000'000'000'000;  // 2025-12-01T08:00:00Z
};

// A plan that contradicts itself or is too large.
struct InvalidPlan : std::invalid_argument {
    using std::invalid_argument::invalid_argument;
};

// Throws InvalidPlan.
void validate(const SyntheticTracePlan& plan);

}  // namespace silverrail::lab

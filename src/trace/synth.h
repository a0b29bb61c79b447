// Synthetic traces: the real core and decision module, in simulated time, before made-up clients and servers.
// The same plan gives the same bytes. Bounded: by seconds times rate times routers.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trace/format/trace_reader.h"
#include "trace/format/trace_writer.h"

namespace silverrail::trace {

struct SynthPlan {
    double seconds = 60;
    double rate = 950;  // calls a second, at each router
    int routers = 1;
    double skew_ms = 0;    // clocks differ from the true time by up to this, either way
    double drift_ppm = 0;  // and run fast or slow by up to this
    std::uint64_t seed = 1;
    bool restart =
        false;  // router 1 dies half-way and comes back after 3 s: its second trace is one more file
    double purges = 0.6;  // a second
    std::int64_t begin_unix_ns = 1'764'576'000'000'000'000;
    static constexpr double kMaxRequests = 100e6;
};

// What the routers' clocks were, for judging an estimate.
struct SynthTruth {
    std::string file;
    std::string router;
    std::int64_t incarnation_unix_ns = 0;
    double ahead_ms = 0;  // of the true time, at the trace's begin
    double drift_ppm = 0;
    std::uint64_t calls = 0;
};

// Asked once for each run of a router, counted from 0: where its trace goes. Sets the file's name.
using SynthOpen =
    std::function<ByteSink&(int run, const std::string& router, int incarnation, std::string& file)>;
// Throws std::invalid_argument for a plan that makes no sense or is too large.
std::vector<SynthTruth> synth(const SynthPlan& plan, const SynthOpen& open,
                              const std::function<void(double share)>& progress = {});

}  // namespace silverrail::trace

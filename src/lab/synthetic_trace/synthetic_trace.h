// Synthetic traces: the real core and decision module, in simulated time, before simulated clients and
// servers.
//
// The same plan gives the same bytes. Time and memory grow with duration, request rate and number of routers,
// which `validate` bounds.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/synthetic_trace/plan.h"
#include "lab/synthetic_trace/simulated_clock.h"
#include "trace/format/byte_stream.h"

namespace silverrail::lab {

// One process of a router, which writes one trace.
struct RouterProcess {
    std::string router_name;
    int incarnation = 1;  // above 1: after a restart
};

// Where a process's trace goes. The sink must outlive the generation.
struct TraceOutput {
    trace::ByteSink& sink;
    std::string file;  // its name, for the report alone
};

// What is true of a trace, against which estimates made from it can be judged.
struct SyntheticTrace {
    std::string file;
    std::string router_name;
    std::int64_t incarnation_unix_ns = 0;  // by the router's own clock
    ClockError clock_error;
    std::uint64_t requests = 0;
};

// Called once for each process, in the order of their starts.
using OpenTraceOutput = std::function<TraceOutput(const RouterProcess&)>;
// Called now and then with the completed fraction, 0 to 1. May be empty.
using GenerationProgress = std::function<void(double)>;

// Returns one description for each process, in the order of their starts. Throws InvalidPlan, and what
// `open_output` and its sinks throw.
std::vector<SyntheticTrace> generate_synthetic_traces(const SyntheticTracePlan& plan,
                                                      const OpenTraceOutput& open_output,
                                                      const GenerationProgress& progress = {});

}  // namespace silverrail::lab

// Synthetic traces in memory, and what the tests of several tools do with them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/synthetic_trace/synthetic_trace.h"
#include "records.h"
#include "trace/replay/replay.h"
#include "trace/tools/tool.h"

namespace silverrail::trace {

inline constexpr std::int64_t kSecond = 1'000'000'000;  // ns

struct GeneratedTraces {
    std::vector<std::unique_ptr<MemorySink>> sinks;
    std::vector<lab::SyntheticTrace> descriptions;
    const Bytes& operator[](std::size_t i) const {
        return sinks[i]->bytes();
    }
};

inline GeneratedTraces generate(const lab::SyntheticTracePlan& plan) {
    GeneratedTraces traces;
    const auto open_output = [&traces](const lab::RouterProcess& process) -> lab::TraceOutput {
        traces.sinks.push_back(std::make_unique<MemorySink>());
        return {*traces.sinks.back(), process.router_name};
    };
    traces.descriptions = lab::generate_synthetic_traces(plan, open_output);
    return traces;
}

// One router for ten seconds.
inline GeneratedTraces generate_short_trace() {
    lab::SyntheticTracePlan plan;
    plan.duration_s = 10;
    plan.requests_per_s = 150;
    plan.seed = 3;
    return generate(plan);
}

// A trace in memory with its reader.
struct OpenTrace {
    explicit OpenTrace(Bytes bytes) : source(std::move(bytes)), reader(source) {}
    MemorySource source;
    TraceReader reader;
};

inline Replay replayed(OpenTrace& trace, ReplayMode mode = ReplayMode::stop_at_first_difference) {
    Replay replay{parse_settings, mode};
    trace.reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        return from_snapshot || replay.add(r);
    });
    replay.finish();
    return replay;
}

}  // namespace silverrail::trace

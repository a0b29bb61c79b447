// Merges the traces of several routers into one, after bringing their clocks together.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "trace/model/clock_offset.h"
#include "trace/tools/tool.h"

namespace silverrail::trace {

struct MergeInput {
    std::string name;  // for the result
    TraceReader* reader;
};
// One run of a router, from its start to its end.
struct MergedRouter {
    std::string router_name;
    std::int64_t incarnation_unix_ns = 0;
    std::vector<std::string> files;
    model::ClockOffsetEstimate estimate;
    bool is_reference = false;
    std::string
        borrowed_from;  // the start of the run of the same router whose estimate this one uses; may be empty
};
struct MergeResult {
    std::vector<MergedRouter> routers;
    std::uint64_t records = 0;
};
// `given_offsets_ms` are added to the clocks of these routers, by name, instead of an estimate. Reads each
// input twice. Throws IoError, and ToolError where an offset can neither be estimated nor is given.
MergeResult merge(const std::vector<MergeInput>& inputs,
                  const std::map<std::string, double>& given_offsets_ms, ByteSink& output,
                  const Progress& progress = {});

}  // namespace silverrail::trace

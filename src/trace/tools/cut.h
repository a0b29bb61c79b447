// Copies a part of a trace to a new one that can be read alone.
#pragma once

#include "trace/model/selection.h"
#include "trace/tools/tool.h"

namespace silverrail::trace {

struct CutResult {
    std::uint64_t records = 0;
    std::uint64_t requests = 0;  // selected; 0 if only time restricts the selection
};
// Reads the trace once, or twice where the selection restricts more than time. Throws IoError, and ToolError
// for too many requests.
CutResult cut(TraceReader& reader, const model::Selection& selection, ByteSink& output,
              const Progress& progress = {});

}  // namespace silverrail::trace

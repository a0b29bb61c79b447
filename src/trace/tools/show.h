// Lists the requests of a trace with their attempts.
#pragma once

#include "trace/model/selection.h"
#include "trace/tools/tool.h"

namespace silverrail::trace {

using ShowRequest = std::function<void(const model::RequestTimeline&, const Names&)>;

// Calls `show_request` for each selected request in order of its end; returns their number. Throws IoError.
std::uint64_t show(TraceReader& reader, const model::Selection& selection, const ShowRequest& show_request,
                   const Progress& progress = {});

}  // namespace silverrail::trace

// Replaces what identifies clients in a trace by pseudonyms.
#pragma once

#include <string>

#include "trace/tools/tool.h"

namespace silverrail::trace {

struct StripOptions {
    std::string key;            // of the pseudonyms, at least 16 bytes
    bool objects = false;       // pseudonyms for objects too; the result can't be replayed
    std::int64_t shift_ns = 0;  // added to all Unix times
};
struct StripResult {
    std::uint64_t records = 0;
    std::uint64_t clients = 0;  // distinct
};
// Throws IoError, and ToolError for a short key.
StripResult strip(TraceReader& reader, const StripOptions& options, ByteSink& output,
                  const Progress& progress = {});

}  // namespace silverrail::trace

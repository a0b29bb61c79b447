// Describes a trace file without decoding its records.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "trace/tools/tool.h"

namespace silverrail::trace {

struct TraceInfo {
    std::uint64_t records = 0;
    std::int64_t first_unix_ns = 0;
    std::int64_t last_unix_ns = 0;
    std::map<std::uint32_t, RouterDirectory::Router> routers;
};
// Decodes the starts of routers only. Throws IoError.
TraceInfo describe(TraceReader& reader);

// The stored size of each column over all chunks, with its name, the largest first. Throws IoError.
std::vector<std::pair<std::uint64_t, std::string>> column_sizes(TraceReader& reader);

}  // namespace silverrail::trace

#include "trace/tools/info.h"

#include <algorithm>

namespace silverrail::trace {

TraceInfo describe(TraceReader& reader) {
    TraceInfo info;
    for (const auto& chunk : reader.chunks()) {
        const ChunkSummary& summary = chunk.summary;
        const bool first = info.records == 0;
        info.first_unix_ns =
            first ? summary.first_unix_ns : std::min(info.first_unix_ns, summary.first_unix_ns);
        info.last_unix_ns = first ? summary.last_unix_ns : std::max(info.last_unix_ns, summary.last_unix_ns);
        info.records += summary.new_records();
    }
    RouterDirectory routers;
    ReadOptions options;
    options.types = types_of<model::RouterStarted>();
    options.track_state = false;
    reader.for_each(options, [&routers](const Record& record, bool, const model::EffectiveState&) {
        routers.update(record);
        return true;
    });
    info.routers = routers.all();
    return info;
}

std::vector<std::pair<std::uint64_t, std::string>> column_sizes(TraceReader& reader) {
    std::map<std::string, std::uint64_t> bytes_by_name;
    for (std::size_t i = 0; i < reader.chunks().size(); ++i) {
        const auto head = reader.read_chunk_head(i);
        if (!head)
            continue;
        for (const auto& [name, bytes] : head->column_bytes())
            bytes_by_name[name] += bytes;
    }
    std::vector<std::pair<std::uint64_t, std::string>> sizes;
    sizes.reserve(bytes_by_name.size());
    for (const auto& [name, bytes] : bytes_by_name)
        sizes.emplace_back(bytes, name);
    std::sort(sizes.rbegin(), sizes.rend());
    return sizes;
}

}  // namespace silverrail::trace

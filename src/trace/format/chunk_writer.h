// Encodes records as one chunk of a trace file. docs/trace-format.md describes the layout to the byte. No
// I/O.
#pragma once

#include <unordered_map>
#include <vector>

#include "trace/format/chunk_summary.h"
#include "trace/format/field_column.h"

namespace silverrail::trace {

class ChunkWriter {
public:
    ChunkWriter();
    // All records of the snapshot come before all others.
    void add(const Record& record, std::int64_t unix_ns, bool from_snapshot);
    const ChunkSummary& summary() const {
        return summary_;
    }
    std::size_t records() const {
        return types_.size();
    }
    struct Chunk {
        ChunkSummary summary;
        Bytes head;
        Bytes body;
    };
    // The chunk; the writer is empty afterwards. `zstd_level`: 1 to 19.
    Chunk finish(int zstd_level);

private:
    void write_columns(ColumnWriter& columns);
    void put_filter(Bytes& head) const;
    void clear();

    ZstdCompressor zstd_;
    ChunkSummary summary_;
    Bytes types_;
    Bytes routers_;
    bool several_routers_ = false;
    std::vector<std::uint64_t> times_;  // zigzag of the difference to the same router's previous record
    std::unordered_map<std::uint32_t, std::int64_t> last_time_;  // by router
    std::vector<std::vector<FieldEncoder>> fields_;              // by type and position
    std::vector<std::uint64_t> filter_keys_;
};

}  // namespace silverrail::trace

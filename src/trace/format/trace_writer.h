// Writes a trace file: a header, chunks, an index at the end. docs/trace-format.md describes the layout.
#pragma once

#include <vector>

#include "trace/format/block.h"
#include "trace/format/chunk_writer.h"
#include "trace/model/effective_state.h"

namespace silverrail::trace {

struct TraceWriterOptions {
    std::size_t chunk_records = 65536;
    // From the first record of a chunk to its last; 0: unlimited.
    std::int64_t chunk_span_ns = 30'000'000'000;
    int zstd_level = 3;
    // False: `close` writes no index, and nothing is remembered of chunks that were written.
    bool write_index = true;
};

// All functions that write throw IoError; nothing more may be written afterwards.
class TraceWriter {
public:
    TraceWriter(ByteSink& sink, std::uint32_t flags, std::int64_t created_unix_ns,
                TraceWriterOptions options = {});
    // The state in effect before the first record. Call before any `add`.
    void begin_with(const model::EffectiveState& state);
    void add(const Record& record);
    // Writes the current chunk, unless it holds nothing but its snapshot.
    void flush();
    // Flushes and writes the index. Nothing may be added afterwards.
    void close();

    std::uint64_t bytes() const {
        return bytes_;
    }
    std::uint64_t records() const {
        return records_;
    }
    const model::EffectiveState& effective_state() const {
        return effective_state_;
    }
    // For the writer of the next file; this one must not be used any more.
    model::EffectiveState release_state() {
        return std::move(effective_state_);
    }

private:
    void begin_chunk();
    bool chunk_is_full() const;
    void write(const Bytes& bytes);

    ByteSink& sink_;
    TraceWriterOptions options_;
    ChunkWriter chunk_;
    bool chunk_begun_ = false;
    model::EffectiveState effective_state_;
    std::vector<ChunkLocation> index_;
    std::uint64_t bytes_ = 0;
    std::uint64_t records_ = 0;
};

}  // namespace silverrail::trace

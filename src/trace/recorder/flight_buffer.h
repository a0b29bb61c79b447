// The newest part of a recording, in memory.
#pragma once

#include <cstdint>
#include <deque>

#include "trace/format/byte_stream.h"

namespace silverrail::trace {

// Receives the blocks that a TraceWriter writes: the header, which is not kept (`as_file`
// makes one that says whether chunks are missing), and chunks, of which the oldest are
// dropped beyond a bound on their bytes. At least one chunk is kept.
class FlightBuffer : public ByteSink {
public:
    explicit FlightBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    void write(ByteView bytes) override;
    // The chunks as a complete trace file, which stands alone: each chunk begins with a snapshot.
    Bytes as_file(std::int64_t created_unix_ns) const;
    bool empty() const {
        return chunks_.empty();
    }

private:
    std::size_t max_bytes_;
    bool has_header_ = false;
    std::deque<Bytes> chunks_;
    std::size_t bytes_ = 0;  // of all chunks
    bool dropped_ = false;   // a chunk, ever
};

}  // namespace silverrail::trace

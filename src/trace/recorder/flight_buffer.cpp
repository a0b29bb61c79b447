#include "trace/recorder/flight_buffer.h"

#include "trace/format/trace_reader.h"
#include "trace/format/trace_writer.h"

namespace silverrail::trace {

void FlightBuffer::write(ByteView bytes) {
    if (!has_header_) {
        has_header_ = true;
        return;
    }
    chunks_.emplace_back(bytes);
    bytes_ += bytes.size();
    while (bytes_ > max_bytes_ && chunks_.size() > 1) {
        bytes_ -= chunks_.front().size();
        chunks_.pop_front();
        dropped_ = true;
    }
}

Bytes FlightBuffer::as_file(std::int64_t created_unix_ns) const {
    MemorySink header;
    const TraceWriter header_writer{header, dropped_ ? std::uint32_t{kCut} : 0U, created_unix_ns};
    Bytes file = std::move(header.bytes());
    for (const Bytes& chunk : chunks_)
        file += chunk;
    const MemorySource source{file};
    const TraceReader reader{source};
    file += encode_index(file.size(), {reader.chunks().begin(), reader.chunks().end()});
    return file;
}

}  // namespace silverrail::trace

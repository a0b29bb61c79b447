#include "trace/format/trace_writer.h"

#include <algorithm>

namespace silverrail::trace {

TraceWriter::TraceWriter(ByteSink& sink, std::uint32_t flags, std::int64_t created_unix_ns,
                         TraceWriterOptions options)
    : sink_(sink), options_(options) {
    options_.chunk_records = std::min(options_.chunk_records, kMaxChunkRecords / 2);
    Header header;
    header.flags = flags;
    header.created_unix_ns = created_unix_ns;
    write(encode_header(header));
}

void TraceWriter::write(const Bytes& bytes) {
    sink_.write(bytes);
    bytes_ += bytes.size();
}

void TraceWriter::begin_with(const model::EffectiveState& state) {
    state.for_each([this](const Record& record) { effective_state_.update(record); });
}

void TraceWriter::begin_chunk() {
    chunk_begun_ = true;
    effective_state_.for_each([this](const Record& record) {
        chunk_.add(record, effective_state_.unix_ns(record.router_index, record.at), true);
    });
}

bool TraceWriter::chunk_is_full() const {
    const ChunkSummary& summary = chunk_.summary();
    if (summary.new_records() >= options_.chunk_records || chunk_.records() >= kMaxChunkRecords)
        return true;
    // In Unix time: routers of a merged trace have different steady clocks.
    return options_.chunk_span_ns > 0 &&
           difference(summary.last_unix_ns, summary.first_unix_ns) >= options_.chunk_span_ns;
}

void TraceWriter::add(const Record& record) {
    if (!chunk_begun_)
        begin_chunk();
    effective_state_.update(record);
    chunk_.add(record, effective_state_.unix_ns(record.router_index, record.at), false);
    ++records_;
    if (chunk_is_full())
        flush();
}

void TraceWriter::flush() {
    if (chunk_.summary().new_records() == 0)
        return;
    const ChunkWriter::Chunk chunk = chunk_.finish(options_.zstd_level);
    chunk_begun_ = false;
    const Bytes bytes = encode_block(kChunkKind, chunk.head, chunk.body);
    const std::uint64_t offset = bytes_;
    write(bytes);
    if (options_.write_index)
        index_.push_back({offset, bytes.size(), chunk.summary});
}

void TraceWriter::close() {
    flush();
    if (options_.write_index)
        write(encode_index(bytes_, index_));
}

}  // namespace silverrail::trace

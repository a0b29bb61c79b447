#include "trace/format/trace_reader.h"

#include <algorithm>
#include <utility>

namespace silverrail::trace {

namespace {

constexpr Types kClockTypes = types_of<model::RouterStarted, model::ClockSample>();
constexpr std::size_t kMaxDamage = 1000;  // entries; the last one sums up all further ones
constexpr std::size_t kScanWindowBytes = 1 << 20;

}  // namespace

TraceReader::TraceReader(const ByteSource& source) : source_(source) {
    read_header();
    indexed_ = read_index();
    if (!indexed_)
        scan_blocks();
}

void TraceReader::read_header() {
    Bytes bytes;
    source_.read(0, kHeaderBytes, bytes);
    if (!bytes.starts_with(kMagic))
        throw Unreadable("not a trace: it does not begin with SLTRACE");
    if (bytes.size() < kHeaderBytes)
        throw Unreadable("not a trace: it ends inside its header");
    const Header header = decode_header(bytes);
    if (header.major != kMajorVersion && header.checksum_valid)
        throw Unreadable("a trace of major version " + std::to_string(header.major) +
                         "; this program reads " + std::to_string(kMajorVersion));
    if (!header.checksum_valid)
        add_damage(0, kHeaderBytes, "header: checksum does not fit; its flags are not believed");
    minor_ = header.minor;
    // With unknown flags the trace must not be taken for a complete one.
    flags_ = header.checksum_valid ? header.flags : std::uint32_t{kCut};
    created_unix_ns_ = header.created_unix_ns;
}

void TraceReader::add_damage(std::uint64_t offset, std::uint64_t bytes, std::string description) {
    const auto known = std::find_if(damage_.begin(), damage_.end(), [&](const Damage& damage) {
        return damage.offset == offset && damage.description == description;
    });
    if (known != damage_.end())
        return;
    if (damage_.size() >= kMaxDamage) {
        damage_.back().bytes += bytes;
        damage_.back().description = "and more";
        return;
    }
    damage_.push_back({offset, bytes, std::move(description)});
}

bool TraceReader::read_index() {
    const std::uint64_t size = source_.size();
    if (size < kHeaderBytes + kTrailerBytes)
        return false;
    Bytes trailer;
    source_.read(size - kTrailerBytes, kTrailerBytes, trailer);
    const auto offset = decode_trailer(trailer);
    if (!offset || *offset >= size)
        return false;
    const auto index = read_block(source_, *offset);
    if (!index || index->kind != kIndexKind || index->body_bytes != 0)
        return false;
    Bytes body_checksum;
    source_.read(index->body_offset, kChecksumBytes, body_checksum);
    if (body_checksum.size() < kChecksumBytes || u64_at(body_checksum) != checksum({}))
        return false;
    const auto chunks = decode_index(index->head, *offset);
    if (!chunks)
        return false;
    for (const ChunkLocation& chunk : *chunks)
        chunks_.push_back({chunk, false});
    return true;
}

// Finds the chunks of a file without a valid index, block by block.
void TraceReader::scan_blocks() {
    const std::uint64_t size = source_.size();
    std::uint64_t offset = kHeaderBytes;
    bool after_loss = false;
    while (offset < size) {
        if (const auto block = read_block(source_, offset)) {
            if (!scan_block(*block, offset, after_loss))
                return;
            offset += std::min(block->bytes, size - offset);
        } else {
            const std::uint64_t next = find_next_block(offset + 1);
            add_damage(offset, next - offset, message(block.error()));
            after_loss = true;
            offset = next;
        }
    }
    if (damage_.empty() || damage_.back().description.find("trailer") == std::string::npos)
        add_damage(size, 0, "no index: the writer did not end in good order");
}

// False: the block is the index, which ends the file.
bool TraceReader::scan_block(const Block& block, std::uint64_t offset, bool& after_loss) {
    const std::uint64_t size = source_.size();
    if (block.kind == kIndexKind) {
        if (size - offset != block.bytes + kTrailerBytes)
            add_damage(offset, size - offset, "the index's trailer is cut off or spoilt");
        else
            add_damage(size - kTrailerBytes, kTrailerBytes, "the trailer is spoilt");
        return false;
    }
    if (block.kind != kChunkKind)
        return true;  // of a later minor version
    const auto chunk = ChunkReader::open(block.head);
    if (!chunk) {
        after_loss = true;
        add_damage(offset, block.bytes, "a chunk's head can't be read");
    } else if (size - offset < block.bytes) {
        add_damage(offset, size - offset,
                   "ends inside a chunk of " + std::to_string(chunk->summary().records) + " records");
    } else {
        chunks_.push_back({{offset, block.bytes, chunk->summary()}, std::exchange(after_loss, false)});
    }
    return true;
}

bool TraceReader::is_block(std::uint64_t offset, ByteView kind) const {
    return (kind == kChunkKind || kind == kIndexKind) && read_block(source_, offset);
}

// The offset of the next valid block at or after `from`; the end of the file if there is none.
std::uint64_t TraceReader::find_next_block(std::uint64_t from) const {
    const std::uint64_t size = source_.size();
    Bytes window;
    while (from < size) {
        source_.read(from, kScanWindowBytes, window);
        for (std::size_t i = window.find(kKindPrefix); i != Bytes::npos; i = window.find(kKindPrefix, i + 1))
            if (is_block(from + i, ByteView{window}.substr(i, kChunkKind.size())))
                return from + i;
        if (window.size() < kScanWindowBytes)
            break;
        from += window.size() - (kChunkKind.size() - 1);  // a kind may span two windows
    }
    return size;
}

std::unique_ptr<ChunkReader> TraceReader::read_chunk_head(std::size_t chunk) {
    const Chunk& location = chunks_.at(chunk);
    const auto block = read_block(source_, location.offset);
    if (!block || block->kind != kChunkKind) {
        add_damage(location.offset, location.bytes,
                   block ? "no chunk where the index says so" : message(block.error()));
        return nullptr;
    }
    auto reader = ChunkReader::open(block->head);
    if (!reader)
        add_damage(location.offset, location.bytes, "a chunk's head can't be read");
    return reader;
}

std::unique_ptr<ChunkReader> TraceReader::report_lost_chunk(std::size_t chunk, const char* reason) {
    const Chunk& location = chunks_.at(chunk);
    lost_chunks_.insert(chunk);
    add_damage(location.offset, location.bytes,
               std::string{reason} + ", " + std::to_string(location.summary.records) + " records lost");
    return nullptr;
}

std::unique_ptr<ChunkReader> TraceReader::read_chunk(std::size_t chunk, Types wanted) {
    const Chunk& location = chunks_.at(chunk);
    Bytes bytes;
    source_.read(location.offset, location.bytes, bytes);
    if (bytes.size() != location.bytes)
        return report_lost_chunk(chunk, message(BlockViewError::truncated));
    const auto block = parse_chunk_block(bytes);
    if (!block)
        return report_lost_chunk(chunk, message(block.error()));
    auto reader = ChunkReader::open(block->head);
    if (!reader || !reader->load(Bytes{block->body}, wanted))
        return report_lost_chunk(chunk, "a chunk's columns can't be read");
    return reader;
}

bool TraceReader::Cursor::is_wanted(const Chunk& chunk) {
    if (chunk.summary.last_unix_ns < options_.from_unix_ns ||
        chunk.summary.first_unix_ns >= options_.to_unix_ns)
        return false;
    return !options_.chunk_filter || options_.chunk_filter(chunk.summary, [this](std::uint64_t key) {
        const auto head = reader_.read_chunk_head(chunk_);
        return head && head->may_contain(key);
    });
}

bool TraceReader::Cursor::open_next_chunk() {
    for (; chunk_ < reader_.chunks_.size(); ++chunk_) {
        const Chunk& chunk = reader_.chunks_[chunk_];
        if (is_wanted(chunk))
            chunk_reader_ = reader_.read_chunk(chunk_, options_.types);
        if (chunk_reader_) {
            if (read_snapshot_)
                effective_state_ = {};
            gap_pending_ = gap_pending_ || chunk.after_loss;
            return true;
        }
        if (reader_.lost_chunks_.contains(chunk_)) {
            gap_pending_ = true;
            lost_records_ += chunk.summary.new_records();
        }
        read_snapshot_ = true;
    }
    return false;
}

void TraceReader::Cursor::close_chunk() {
    reader_.unknown_records_ += chunk_reader_->unknown_records();
    read_snapshot_ = false;
    chunk_reader_ = nullptr;
    ++chunk_;
}

bool TraceReader::Cursor::next_in_chunk(Record& record, bool& from_snapshot) {
    while (chunk_reader_->next(record, from_snapshot)) {
        if (from_snapshot && !read_snapshot_)
            continue;
        last_at_ = record.at;
        if (options_.track_state || kClockTypes >> record.body.index() & 1)
            effective_state_.update(record);
        return true;
    }
    return false;
}

bool TraceReader::Cursor::next(Record& record, bool& from_snapshot) {
    while (chunk_reader_ || open_next_chunk()) {
        const bool report_gap = std::exchange(gap_pending_, false);
        if (report_gap && options_.types >> model::type_of<model::Gap>() & 1) {
            from_snapshot = false;
            record = {last_at_, 0, model::Gap{std::exchange(lost_records_, 0), last_at_, last_at_}};
            return true;
        }
        if (next_in_chunk(record, from_snapshot))
            return true;
        close_chunk();
    }
    return false;
}

void TraceReader::for_each(const ReadOptions& options, const Visit& visit) {
    Cursor cursor{*this, options};
    Record record;
    bool from_snapshot = false;
    while (cursor.next(record, from_snapshot))
        if (!visit(record, from_snapshot, cursor.effective_state()))
            return;
}

}  // namespace silverrail::trace

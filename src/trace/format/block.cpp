#include "trace/format/block.h"

namespace silverrail::trace {

namespace {

constexpr ByteView kEndMagic{"SLTREND\n", 8};
constexpr std::size_t kMaxHeadBytes = 256 << 20;
constexpr std::size_t kMaxBlockBodyBytes = 64 << 20;

// Offsets in a header.
constexpr std::size_t kMajorAt = 8;
constexpr std::size_t kMinorAt = 10;
constexpr std::size_t kFlagsAt = 12;
constexpr std::size_t kCreatedAt = 16;
constexpr std::size_t kHeaderChecksumAt = 24;

// Offsets in a block's frame.
constexpr std::size_t kKindBytes = 4;
constexpr std::size_t kHeadBytesAt = 4;
constexpr std::size_t kBodyBytesAt = 8;
constexpr std::size_t kHeadChecksumAt = 16;

// Offsets in the trailer.
constexpr std::size_t kIndexChecksumAt = 8;
constexpr std::size_t kEndMagicAt = 16;

std::uint64_t head_checksum(ByteView frame, ByteView head) {
    return checksum(head, checksum(frame.substr(0, kHeadChecksumAt)));
}

}  // namespace

Bytes encode_header(const Header& header) {
    Bytes out{kMagic};
    put_u16(out, header.major);
    put_u16(out, header.minor);
    put_u32(out, header.flags);
    put_u64(out, static_cast<std::uint64_t>(header.created_unix_ns));
    put_u64(out, checksum(out));
    return out;
}

Header decode_header(ByteView bytes) {
    Header header;
    header.major = u16_at(bytes, kMajorAt);
    header.minor = u16_at(bytes, kMinorAt);
    header.flags = u32_at(bytes, kFlagsAt);
    header.created_unix_ns = static_cast<std::int64_t>(u64_at(bytes, kCreatedAt));
    header.checksum_valid = u64_at(bytes, kHeaderChecksumAt) == checksum(bytes.substr(0, kHeaderChecksumAt));
    return header;
}

Bytes encode_block(ByteView kind, const Bytes& head, const Bytes& body) {
    Bytes out;
    out.reserve(kFrameBytes + head.size() + body.size() + kChecksumBytes);
    out += kind;
    put_u32(out, static_cast<std::uint32_t>(head.size()));
    put_u32(out, static_cast<std::uint32_t>(body.size()));
    put_u32(out, 0);  // reserved
    put_u64(out, head_checksum(out, head));
    out += head;
    out += body;
    put_u64(out, checksum(body));
    return out;
}

Bytes encode_index(std::uint64_t offset, const std::vector<ChunkLocation>& chunks) {
    Bytes head;
    put_varint(head, chunks.size());
    for (const ChunkLocation& chunk : chunks) {
        put_varint(head, chunk.offset);
        put_varint(head, chunk.bytes);
        put_summary(head, chunk.summary);
    }
    Bytes trailer;
    put_u64(trailer, offset);
    put_u64(trailer, checksum(trailer));
    trailer += kEndMagic;
    return encode_block(kIndexKind, head, {}) + trailer;
}

std::optional<std::vector<ChunkLocation>> decode_index(ByteView head, std::uint64_t index_offset) {
    std::uint64_t count = 0;
    if (!get_varint(head, count) || count > head.size())
        return std::nullopt;
    std::vector<ChunkLocation> chunks(count);
    for (ChunkLocation& chunk : chunks)
        if (!get_varint(head, chunk.offset) || !get_varint(head, chunk.bytes) ||
            !get_summary(head, chunk.summary) || chunk.offset > index_offset ||
            chunk.bytes > index_offset - chunk.offset)
            return std::nullopt;
    return chunks;
}

std::optional<std::uint64_t> decode_trailer(ByteView bytes) {
    if (bytes.size() < kTrailerBytes || bytes.substr(kEndMagicAt) != kEndMagic ||
        u64_at(bytes, kIndexChecksumAt) != checksum(bytes.substr(0, kIndexChecksumAt)))
        return std::nullopt;
    return u64_at(bytes);
}

const char* message(BlockError error) {
    switch (error) {
        case BlockError::truncated_frame:
            return "ends inside a block's frame";
        case BlockError::not_a_block:
            return "no block begins here";
        case BlockError::truncated_head:
            return "ends inside a block's head, or no block begins here";
        case BlockError::head_checksum:
            return "a block's head does not fit its checksum";
    }
    return "";
}

Result<Block, BlockError> read_block(const ByteSource& source, std::uint64_t offset) {
    Bytes frame;
    source.read(offset, kFrameBytes, frame);
    if (frame.size() < kFrameBytes)
        return BlockError::truncated_frame;
    const std::uint32_t head_bytes = u32_at(frame, kHeadBytesAt);
    const std::uint32_t body_bytes = u32_at(frame, kBodyBytesAt);
    if (head_bytes > kMaxHeadBytes || body_bytes > kMaxBlockBodyBytes)
        return BlockError::not_a_block;
    Block block;
    block.kind = frame.substr(0, kKindBytes);
    block.body_offset = offset + kFrameBytes + head_bytes;
    block.body_bytes = body_bytes;
    block.bytes = kFrameBytes + head_bytes + std::uint64_t{body_bytes} + kChecksumBytes;
    source.read(offset + kFrameBytes, head_bytes, block.head);
    if (block.head.size() < head_bytes)
        return BlockError::truncated_head;
    if (u64_at(frame, kHeadChecksumAt) != head_checksum(frame, block.head))
        return BlockError::head_checksum;
    return block;
}

const char* message(BlockViewError error) {
    switch (error) {
        case BlockViewError::truncated:
            return "a chunk is cut off";
        case BlockViewError::frame:
            return "a chunk's frame is spoilt";
        case BlockViewError::head_checksum:
            return "a chunk's head does not fit its checksum";
        case BlockViewError::body_checksum:
            return "a chunk's body does not fit its checksum";
    }
    return "";
}

Result<BlockView, BlockViewError> parse_chunk_block(ByteView bytes) {
    if (bytes.size() < kFrameBytes + kChecksumBytes)
        return BlockViewError::truncated;
    const std::uint64_t head_bytes = u32_at(bytes, kHeadBytesAt);
    const std::uint64_t body_bytes = u32_at(bytes, kBodyBytesAt);
    BlockView block;
    block.kind = bytes.substr(0, kKindBytes);
    if (block.kind != kChunkKind || kFrameBytes + head_bytes + body_bytes + kChecksumBytes != bytes.size())
        return BlockViewError::frame;
    block.head = bytes.substr(kFrameBytes, head_bytes);
    block.body = bytes.substr(kFrameBytes + head_bytes, body_bytes);
    if (u64_at(bytes, kHeadChecksumAt) != head_checksum(bytes, block.head))
        return BlockViewError::head_checksum;
    if (u64_at(bytes, kFrameBytes + head_bytes + body_bytes) != checksum(block.body))
        return BlockViewError::body_checksum;
    return block;
}

}  // namespace silverrail::trace

// The frame of a trace file: header, blocks, index and trailer. docs/trace-format.md describes them to the
// byte.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "trace/format/byte_stream.h"
#include "trace/format/chunk_summary.h"

namespace silverrail::trace {

inline constexpr std::uint16_t kMajorVersion = 1;
inline constexpr std::uint16_t kMinorVersion = 0;

enum TraceFlag : std::uint32_t {
    kCut = 1,       // begins after its router's start, or leaves records out: can't be replayed
    kMerged = 2,    // of several routers
    kStripped = 4,  // clients are pseudonyms
};

inline constexpr std::size_t kHeaderBytes = 32;
inline constexpr std::size_t kFrameBytes = 24;  // before a block's head
inline constexpr std::size_t kChecksumBytes = 8;
inline constexpr std::size_t kTrailerBytes = 24;
inline constexpr ByteView kMagic{"SLTRACE\n", 8};
inline constexpr ByteView kChunkKind{"SLCK", 4};
inline constexpr ByteView kIndexKind{"SLIX", 4};
inline constexpr ByteView kKindPrefix{"SL", 2};

struct Header {
    std::uint16_t major = kMajorVersion;
    std::uint16_t minor = kMinorVersion;
    std::uint32_t flags = 0;
    std::int64_t created_unix_ns = 0;
    bool checksum_valid = true;
};
Bytes encode_header(const Header& header);
// `bytes`: kHeaderBytes that begin with kMagic.
Header decode_header(ByteView bytes);

// A chunk and its place in the file.
struct ChunkLocation {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    ChunkSummary summary{};
};

Bytes encode_block(ByteView kind, const Bytes& head, const Bytes& body);
// The index block and the trailer of a file with these chunks; the index begins at `offset`.
Bytes encode_index(std::uint64_t offset, const std::vector<ChunkLocation>& chunks);
// The chunks in an index block's head. Empty: malformed, or a chunk does not end before `index_offset`.
std::optional<std::vector<ChunkLocation>> decode_index(ByteView head, std::uint64_t index_offset);
// The offset of the index block. Empty: not a valid trailer.
std::optional<std::uint64_t> decode_trailer(ByteView bytes);

// A block without its body.
struct Block {
    Bytes kind;
    Bytes head;
    std::uint64_t body_offset = 0;
    std::uint64_t body_bytes = 0;
    std::uint64_t bytes = 0;  // of the whole block
};
enum class BlockError { truncated_frame, not_a_block, truncated_head, head_checksum };
const char* message(BlockError error);
// Reads a block's frame and head, and verifies the head's checksum. Throws IoError.
Result<Block, BlockError> read_block(const ByteSource& source, std::uint64_t offset);

// A block that is in memory as a whole. Its parts are views into `bytes`.
struct BlockView {
    ByteView kind;
    ByteView head;
    ByteView body;
};
enum class BlockViewError { truncated, frame, head_checksum, body_checksum };
const char* message(BlockViewError error);
// Verifies both checksums of a chunk's block, which takes up all of `bytes`.
Result<BlockView, BlockViewError> parse_chunk_block(ByteView bytes);

}  // namespace silverrail::trace

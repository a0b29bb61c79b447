// Reads a trace file, also a damaged one. docs/trace-format.md describes the layout.
//
// Damage is an ordinary finding: the reader skips what is corrupt, lists it in `damage()`, and reads the
// rest. Only a file that is no trace, or one of an unknown major version, is refused.
#pragma once

#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "trace/format/block.h"
#include "trace/format/chunk_reader.h"
#include "trace/model/effective_state.h"

namespace silverrail::trace {

// Not a trace, or one of an unknown major version.
struct Unreadable : TraceError {
    using TraceError::TraceError;
};

// A part of a file that could not be read.
struct Damage {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    std::string description;
};

// Which records to read.
struct ReadOptions {
    Types types = kAllTypes;
    // Chunks that overlap these times.
    std::int64_t from_unix_ns = std::numeric_limits<std::int64_t>::min();
    std::int64_t to_unix_ns = std::numeric_limits<std::int64_t>::max();
    // False: the effective state contains starts and clocks only, which is faster.
    bool track_state = true;
    // Skips chunks for which it returns false. `may_contain` asks a chunk's filter for a key.
    using MayContain = std::function<bool(std::uint64_t key)>;
    std::function<bool(const ChunkSummary&, const MayContain& may_contain)> chunk_filter{};
};

class TraceReader {
public:
    // Reads the header and the index, or all chunks' heads where there is no index. The source must outlive
    // the reader. Throws Unreadable and IoError.
    explicit TraceReader(const ByteSource& source);

    struct Chunk : ChunkLocation {
        bool after_loss = false;  // follows a corrupt part of the file
    };
    const std::vector<Chunk>& chunks() const {
        return chunks_;
    }
    std::uint32_t flags() const {
        return flags_;
    }
    std::uint16_t minor() const {
        return minor_;
    }
    std::int64_t created_unix_ns() const {
        return created_unix_ns_;
    }
    // False: the writer did not close the file.
    bool indexed() const {
        return indexed_;
    }
    // Found so far.
    const std::vector<Damage>& damage() const {
        return damage_;
    }
    // Records of unknown types that were skipped so far.
    std::uint64_t unknown_records() const {
        return unknown_records_;
    }

    // Decodes the records of the wanted types of a chunk. Null: it is damaged, which is noted. Throws
    // IoError.
    std::unique_ptr<ChunkReader> read_chunk(std::size_t chunk, Types wanted = kAllTypes);
    // The head alone, for its filter.
    std::unique_ptr<ChunkReader> read_chunk_head(std::size_t chunk);

    // Calls `visit` for the wanted records in order, until it returns false. Snapshot records occur at the
    // beginning of the first chunk read, and after a chunk that was skipped. Where a chunk was lost, a `Gap`
    // tells the number of its records if the index knows it. `state` includes the record. Throws IoError.
    using Visit = std::function<bool(const Record&, bool from_snapshot, const model::EffectiveState& state)>;
    void for_each(const ReadOptions& options, const Visit& visit);

    // The same, one record at a time.
    class Cursor {
    public:
        Cursor(TraceReader& reader, ReadOptions options) : reader_(reader), options_(std::move(options)) {}
        // False: there are no more. Texts of the record are valid until the next call.
        bool next(Record& record, bool& from_snapshot);
        const model::EffectiveState& effective_state() const {
            return effective_state_;
        }

    private:
        bool is_wanted(const Chunk& chunk);
        bool open_next_chunk();
        void close_chunk();
        bool next_in_chunk(Record& record, bool& from_snapshot);

        TraceReader& reader_;
        ReadOptions options_;
        model::EffectiveState effective_state_;
        std::unique_ptr<ChunkReader> chunk_reader_;
        std::size_t chunk_ = 0;
        std::int64_t last_at_ = 0;        // time of the last record
        std::uint64_t lost_records_ = 0;  // of chunks that could not be read since the last gap
        bool gap_pending_ = false;
        bool read_snapshot_ = true;  // the next chunk does not follow the last one read
    };

private:
    void read_header();
    bool read_index();
    void scan_blocks();
    bool scan_block(const Block& block, std::uint64_t offset, bool& after_loss);
    std::uint64_t find_next_block(std::uint64_t from) const;
    bool is_block(std::uint64_t offset, ByteView kind) const;
    void add_damage(std::uint64_t offset, std::uint64_t bytes, std::string description);
    std::unique_ptr<ChunkReader> report_lost_chunk(std::size_t chunk, const char* reason);

    const ByteSource& source_;
    std::vector<Chunk> chunks_;
    std::vector<Damage> damage_;
    std::set<std::size_t> lost_chunks_;
    std::uint32_t flags_ = 0;
    std::uint16_t minor_ = 0;
    std::int64_t created_unix_ns_ = 0;
    std::uint64_t unknown_records_ = 0;
    bool indexed_ = false;
};

}  // namespace silverrail::trace

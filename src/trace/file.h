// A trace file: a header, chunks, an index at the end. docs/trace-format.md gives the layout to the byte.
//
// Damage is an ordinary finding, not an error: the reader passes over what is spoilt, counts and names it,
// and reads the rest. Only what is no trace at all, or one of an unknown major version, is refused.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "trace/bytes.h"
#include "trace/chunk.h"

namespace silverrail::trace {

inline constexpr std::uint16_t kMajor = 1;
inline constexpr std::uint16_t kMinor = 0;

enum Flag : std::uint32_t {
    kCut = 1,       // begins after its router's start, or leaves records out: no replay
    kMerged = 2,    // of several routers
    kStripped = 4,  // clients are pseudonyms
};

// What can't be read at all.
struct Unreadable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct WriterLimits {
    std::size_t records = 65536;  // of a chunk
    // ns from a chunk's first record to its last; 0: any
    std::int64_t span = 30'000'000'000;
    int level = 3;  // of zstd
    bool index =
        true;  // false: nothing is remembered of chunks that were written, and `close` writes no index
};

// A chunk, and where in the file it stands.
struct Placed {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    ChunkSummary summary{};
};
// The end of a file whose chunks these are, if it begins at `offset`.
Bytes index_at(std::uint64_t offset, const std::vector<Placed>& chunks);

class Writer {
public:
    Writer(ByteSink& sink, std::uint32_t flags, std::int64_t created_unix_ns, WriterLimits limits = {});
    void add(const Record& record);
    // What is in force before the first record, as one record after another; before any `add`.
    void open_with(const model::EffectiveState& effective_state);
    // Ends the chunk that is open; nothing if it holds nothing new.
    void flush();
    // Flushes, and writes the index. Nothing may be added any more.
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
    model::EffectiveState release() {
        return std::move(effective_state_);
    }  // for the next writer; this one is done

private:
    void begin();
    void put(const Bytes& bytes);

    ByteSink& sink_;
    WriterLimits limits_;
    ChunkBuilder builder_;
    model::EffectiveState effective_state_;
    std::vector<Placed> index_;
    std::uint64_t bytes_ = 0;
    std::uint64_t records_ = 0;
    std::int64_t first_at_ = 0;
    bool began_ = false;
};

struct Damage {
    std::uint64_t offset = 0;
    std::uint64_t bytes = 0;
    std::string what;
};

class Reader {
public:
    // Throws Unreadable and IoError. Reads the header and the index; where there is no index, the heads of
    // all chunks.
    explicit Reader(const ByteSource& source);

    struct Chunk : Placed {
        bool after_loss = false;  // what stood before it could not be found
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
    bool indexed() const {
        return indexed_;
    }  // false: its writer did not end in good order
    const std::vector<Damage>& damage() const {
        return damage_;
    }
    std::uint64_t unknown() const {
        return unknown_;
    }

    // Opens a chunk. Absent: it is damaged, which is noted. Only columns of `wanted` types are unpacked.
    std::unique_ptr<ChunkView> load(std::size_t chunk, Types wanted = kAllTypes);
    // The head alone, for its filter.
    std::unique_ptr<ChunkView> head(std::size_t chunk);

    struct Pass {
        Types wanted = kAllTypes;
        std::int64_t from_unix_ns = std::numeric_limits<std::int64_t>::min();
        std::int64_t to_unix_ns = std::numeric_limits<std::int64_t>::max();
        // False: `in_force` knows starts and clocks only, which is faster.
        bool track = true;
        // Chunks for which it is false are not read.
        std::function<bool(const ChunkSummary&, const std::function<bool(std::uint64_t key)>&)>
            priority_weight{};
    };
    // Calls `f(record, held, in_force)` for the wanted records of the chunks that overlap the times. Held
    // records come only at the head of the first chunk read, and again after a chunk that was passed over.
    // Where a chunk was lost, a `Gap` says so, with as many records as the index told of, or none.
    // `in_force` is fed all wanted records before `f` sees them. `f` returns false to end the pass.
    using Take = std::function<bool(const Record&, bool held, const model::EffectiveState& effective_state)>;
    void each(const Pass& pass, const Take& f);

    // The same, one record at a time; a record's texts live until the next one is asked for.
    class Cursor {
    public:
        Cursor(Reader& reader, Pass pass) : reader_(reader), pass_(std::move(pass)) {}
        bool next(Record& record, bool& held);
        const model::EffectiveState& effective_state() const {
            return effective_state_;
        }

    private:
        bool open_next();
        Reader& reader_;
        Pass pass_;
        model::EffectiveState effective_state_;
        std::unique_ptr<ChunkView> view_;
        std::size_t chunk_ = 0;
        std::int64_t at_ = 0;     // of the last record
        std::uint64_t lost_ = 0;  // records of chunks that could not be read since then
        bool loss_ = false;
        bool resume_ = true;  // what is in force has to be taken from the next chunk's head
    };

private:
    bool read_index();
    void scan();
    struct Block;
    bool block_at(std::uint64_t offset, Block& block, std::string* why) const;
    void cache_status(std::uint64_t offset, std::uint64_t bytes, std::string what);

    const ByteSource& source_;
    std::vector<Chunk> chunks_;
    std::vector<Damage> damage_;
    std::set<std::size_t> lost_;  // chunks that could not be loaded
    std::uint32_t flags_ = 0;
    std::uint16_t minor_ = 0;
    std::int64_t created_unix_ns_ = 0;
    std::uint64_t unknown_ = 0;
    bool indexed_ = false;
};

}  // namespace silverrail::trace

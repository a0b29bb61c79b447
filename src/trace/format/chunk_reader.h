// Decodes the records of one chunk of a trace file in order. docs/trace-format.md describes the layout. No
// I/O.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/format/bloom_filter.h"
#include "trace/format/chunk_summary.h"
#include "trace/format/field_column.h"

namespace silverrail::trace {

// Malformed input is an ordinary return value. Texts of records are valid as long as the reader.
class ChunkReader {
public:
    // Null if `head` is malformed. Bytes that a later minor version appends are ignored.
    static std::unique_ptr<ChunkReader> open(ByteView head);
    const ChunkSummary& summary() const {
        return summary_;
    }
    // False: the chunk has no record of a request with this key.
    bool may_contain(std::uint64_t key) const {
        return filter_.may_contain(key);
    }
    std::uint64_t body_bytes() const {
        return columns_.body_bytes();
    }
    // The stored size of each column by `type.field`; those of dictionaries end in `.words`.
    std::map<std::string, std::uint64_t> column_bytes() const;

    // Decodes the columns of the wanted types; the body's checksum has been verified. False: malformed.
    bool load(Bytes body, Types wanted = kAllTypes);
    // The next record of a wanted type. False: there is none. Records of unknown types are skipped and
    // counted.
    bool next(Record& record, bool& from_snapshot);
    std::uint64_t unknown_records() const {
        return unknown_records_;
    }

private:
    static constexpr std::size_t kMaxTypes = 64;

    // The fields of one type, and the position in them.
    struct TypeDecoder {
        std::vector<FieldDecoder> fields;
        std::size_t rows = 0;
        std::size_t next_row = 0;
    };
    ChunkReader() = default;
    bool read_head(ByteView head);
    bool load_record_columns();
    bool load_routers();
    bool load_wanted_types();
    bool load_fields(std::size_t type);
    std::array<std::size_t, kMaxTypes> rows_by_type() const;
    void read_fields(std::size_t type, Record& record);

    ChunkSummary summary_;
    BloomFilter filter_{Bytes{}};
    ColumnReader columns_;
    Bytes types_;
    std::vector<std::uint64_t> routers_;
    std::vector<std::uint64_t> times_;
    std::unordered_map<std::uint32_t, std::int64_t> last_time_;  // by router
    std::vector<std::unique_ptr<TypeDecoder>> decoders_;         // by type; null: not wanted, or no records
    Types wanted_ = kAllTypes;
    std::size_t next_ = 0;
    std::uint64_t unknown_records_ = 0;
};

}  // namespace silverrail::trace

// One chunk of a trace file: packing records into columns, and reading them back. docs/trace-format.md gives
// the layout to the byte. No I/O.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/codec.h"
#include "trace/model/effective_state.h"

namespace silverrail::trace {

using model::Record;

inline constexpr std::size_t kMostRecords = 1 << 18;               // in one chunk
inline constexpr std::size_t kMostHead = 4 << 20;                  // bytes
inline constexpr std::size_t kMostBody = 64 << 20;                 // bytes
inline constexpr std::size_t kMostColumn = std::size_t{32} << 20;  // bytes of one column, unpacked

using Types = std::uint64_t;  // a bit for each type of record
template <class... T>
constexpr Types types_of() {
    return ((Types{1} << model::type_of<T>()) | ... | Types{0});
}
inline constexpr Types kAllTypes = ~Types{0};

// What may be known of a chunk without reading it.
struct ChunkSummary {
    std::uint64_t records = 0;
    std::uint64_t held = 0;          // of these, the first ones, which only tell what is in force
    std::int64_t first_unix_ns = 0;  // of the others; the earliest and the latest
    std::int64_t last_unix_ns = 0;
    Types types = 0;                         // of the others
    std::uint64_t classes = 0;               // a bit for each class index of calls; 63 stands for all above
    std::uint64_t outcomes = 0;              // a bit for each kind of answer; from bit 16 on, each ending
    std::array<std::uint64_t, 4> servers{};  // 256 bits: one set for each server or source named, by its hash
    bool may_name(std::string_view server) const;
    void name(std::string_view server);
};

// As heads and the index hold it. `get` reads on from the front; false: it is none.
void put_summary(Bytes& to, const ChunkSummary& summary);
bool get_summary(View& from, ChunkSummary& summary);

// Keys of a chunk's filter.
std::uint64_t call_key(std::uint64_t client_request_number, std::string_view trace);
std::uint64_t object_key(std::uint64_t object);

namespace detail {
// A column's values as they come. `pick` ones hold places in the dictionary.
struct ColumnBuffer {
    std::vector<std::uint64_t> values;
    bool any = false;  // a value that is not the default
    Bytes words;       // new texts or numbers, in order of their first use
    std::uint64_t next = 1;
    std::unordered_map<std::uint64_t, std::uint64_t> numbers;
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return checksum(text);
        }
    };
    std::unordered_map<std::string, std::uint64_t, Hash, std::equal_to<>> texts;
    void clear();
};
}  // namespace detail

class ChunkBuilder {
public:
    ChunkBuilder();
    ~ChunkBuilder();
    // All `held` ones come before all others.
    void add(const Record& record, std::int64_t unix_ns, bool held);
    const ChunkSummary& summary() const {
        return summary_;
    }
    std::size_t records() const {
        return types_.size();
    }
    // Head and body, and an empty builder. Level 1 to 19 is zstd's.
    struct Parts {
        ChunkSummary summary;
        Bytes head;
        Bytes body;
    };
    Parts finish(int level);

private:
    using ColumnBuffer = detail::ColumnBuffer;
    void cache_status(const Record& record, std::int64_t unix_ns, bool held);
    void column(Bytes& head, Bytes& body, std::uint64_t id, int codec, std::uint64_t count, View raw,
                int level);
    void numbers(Bytes& head, Bytes& body, std::uint64_t id, const std::vector<std::uint64_t>& values,
                 bool zigzagged, int level);

    Zstd zstd_;
    ChunkSummary summary_;
    Bytes types_;
    Bytes sources_;
    bool any_source_ = false;
    std::vector<std::uint64_t> times_;  // zigzag of the step from the same router's last
    std::unordered_map<std::uint32_t, std::int64_t> last_;
    std::vector<std::vector<ColumnBuffer>> columns_;  // by type and place
    std::vector<std::uint64_t> keys_;
    std::uint64_t written_ = 0;  // columns of the chunk that is being finished
};

// Reads a chunk's records in order. Texts in a record live as long as the view.
class ChunkView {
public:
    // Absent: not a head that this version can read.
    static std::unique_ptr<ChunkView> open(View head);
    ~ChunkView();
    const ChunkSummary& summary() const {
        return summary_;
    }
    bool may_hold(std::uint64_t key) const;
    std::uint64_t body_bytes() const {
        return body_bytes_;
    }
    // What each column takes in the file, by `type.field`; dictionaries end in `.words`.
    std::map<std::string, std::uint64_t> column_bytes() const;

    // The body, whose checksum has been found right, and the types that are wanted. Only their columns are
    // unpacked. Records of types that this version does not know are passed over.
    // False: it does not fit its head.
    bool load(Bytes body, Types wanted = kAllTypes);
    // The next wanted record. False: there is none, or what comes can't be read (then `bad()`).
    bool next(Record& record, bool& held);
    bool bad() const {
        return bad_;
    }
    std::uint64_t unknown() const {
        return unknown_;
    }  // passed over so far

private:
    struct Column;
    struct TypeColumns;
    ChunkView();
    bool read_head(View head);
    bool unpack(std::uint64_t id, Bytes& raw, int& codec);
    bool numbers(std::uint64_t id, std::vector<std::uint64_t>& to, bool zigzagged);
    bool prepare(std::size_t type);

    Zstd zstd_;
    ChunkSummary summary_;
    Filter filter_{Bytes{}};
    std::unordered_map<std::uint64_t, Column> places_;
    std::uint64_t body_bytes_ = 0;
    Bytes body_;
    Bytes types_;
    std::vector<std::uint64_t> sources_;
    std::vector<std::uint64_t> times_;
    std::unordered_map<std::uint32_t, std::int64_t> last_;
    std::vector<std::unique_ptr<TypeColumns>> columns_;
    Types wanted_ = kAllTypes;
    std::size_t at_ = 0;
    std::uint64_t unknown_ = 0;
    bool bad_ = false;
};

}  // namespace silverrail::trace

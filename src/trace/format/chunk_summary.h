// What is known of a chunk without decoding it: its summary, and the keys of its Bloom filter.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "trace/format/coding.h"
#include "trace/model/records.h"

namespace silverrail::trace {

using model::Record;

inline constexpr std::size_t kMaxChunkRecords = 1 << 18;

// A set of record types, a bit for each.
using Types = std::uint64_t;
template <class... T>
constexpr Types types_of() {
    return ((Types{1} << model::type_of<T>()) | ... | Types{0});
}
inline constexpr Types kAllTypes = ~Types{0};

struct ChunkSummary {
    std::uint64_t records = 0;
    std::uint64_t snapshot_records = 0;  // the first of these, which repeat the effective state
    std::int64_t first_unix_ns = 0;      // earliest and latest of the other records
    std::int64_t last_unix_ns = 0;
    Types types = 0;             // of the other records
    std::uint64_t classes = 0;   // a bit for each class index of requests; 63 stands for all above
    std::uint64_t outcomes = 0;  // a bit for each kind of response; from bit 16 on for each attempt status
    std::array<std::uint64_t, 4> servers{};  // a set of 256 bits: a bit for each server, by its hash

    void add_server(std::string_view server);
    bool may_contain_server(std::string_view server) const;
    // Records other than the snapshot.
    std::uint64_t new_records() const {
        return records - snapshot_records;
    }
    // Accounts for a record, which has been added to the chunk.
    void add(const Record& record, std::int64_t unix_ns, bool from_snapshot);
};

void put_summary(Bytes& out, const ChunkSummary& summary);
// Removes a summary from the front of `in`. False: `in` does not begin with a valid one.
bool get_summary(ByteView& in, ChunkSummary& summary);

// Keys of a chunk's filter. `client_request_id` may be empty; then the number stands for it.
std::uint64_t request_key(std::uint64_t client_request_number, std::string_view client_request_id);
std::uint64_t object_key(std::uint64_t object);

}  // namespace silverrail::trace

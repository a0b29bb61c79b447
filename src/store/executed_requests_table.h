// The ids of requests that may have run, in a table of fixed size. Several processes of one router map the
// same file, so that each knows the ids of the others, and those of a process that has ended. A new id
// replaces the oldest of its bucket.
//
// File: 64 bytes of header (kMagic in the first 8, zeros), then kBuckets buckets of kSlotsPerBucket slots;
// a slot is the 64-bit hash of an id (0: empty) and the time of its record in ms of the system's monotonic
// clock. All numbers are in the machine's byte order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/executed_requests.h"

namespace silverrail::store {

class ExecutedRequestsTable : public core::ExecutedRequests {
public:
    // Ids in the table; at 500 new ones a second the last minute.
    static constexpr std::size_t kBuckets = 4096;
    static constexpr std::size_t kSlotsPerBucket = 8;

    // Empty `path`: a table of this process alone. Throws std::system_error with the path if the file can't
    // be used, and std::runtime_error if it is not such a file.
    explicit ExecutedRequestsTable(const std::string& path = {});
    ~ExecutedRequestsTable() override;
    ExecutedRequestsTable(const ExecutedRequestsTable&) = delete;
    ExecutedRequestsTable& operator=(const ExecutedRequestsTable&) = delete;

    bool record(std::string_view trace_id) override;
    bool contains(std::string_view trace_id) const override;
    void remove(std::string_view trace_id) override;

private:
    struct Slot {
        std::uint64_t id;
        std::uint64_t recorded_ms;
    };
    struct Header {
        std::uint64_t magic;
        std::uint64_t unused[7];
    };
    struct Table {
        Header header;
        Slot slots[kBuckets][kSlotsPerBucket];
    };
    static_assert(sizeof(Slot) == 16 && sizeof(Header) == 64);

    void map(const std::string& path);
    Slot* bucket_of(std::uint64_t id) const;
    static Slot& slot_to_replace(Slot* bucket);

    Table* table_ = nullptr;
};

}  // namespace silverrail::store

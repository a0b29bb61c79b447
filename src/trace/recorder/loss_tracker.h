// Counts the records that could not be written, so that a gap record can say how many are missing and when.
#pragma once

#include <cstdint>
#include <optional>

#include "trace/model/records.h"

namespace silverrail::trace {

// Times are those of the records, ns of the router's monotonic clock.
class LossTracker {
public:
    // A record was passed to the writer. It may stay in a chunk that is not written yet.
    void add_buffered(std::int64_t at) {
        ++buffered_;
        last_lost_ = at;
    }
    // Everything passed to the writer has been written.
    void mark_written();
    // Buffered records, and the gap among them, could not be written. Returns their number.
    std::uint64_t lose_buffered();
    // A record could not be passed to a writer.
    void add_lost(std::int64_t at);
    // A gap record for what was lost since the last one, to be passed to the writer; absent: nothing was.
    std::optional<model::Gap> report();
    // Records lost since the last gap record.
    std::uint64_t unreported() const {
        return unreported_;
    }

private:
    std::uint64_t buffered_ = 0;
    std::uint64_t unreported_ = 0;
    std::uint64_t reported_in_buffer_ = 0;  // by a gap record that is not written yet
    std::int64_t first_lost_ = 0;
    std::int64_t last_lost_ = 0;  // or the last record that would be lost with the buffer
};

}  // namespace silverrail::trace

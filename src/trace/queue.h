// Records on their way from the one thread that makes them to the one that writes them: a ring of bytes of a
// fixed size. Nothing is allocated, nothing waits; what does not fit is not taken.
#pragma once

#include <atomic>
#include <cstring>
#include <vector>

#include "trace/model/records.h"

namespace silverrail::trace {

class RecordQueue {
public:
    explicit RecordQueue(std::size_t bytes);
    // By the maker. False: it is full, or the record has more than a quarter of its bytes.
    bool push(const model::Record& record);
    // By the writer. The record's texts live until the next call. False: there is none.
    bool pop(model::Record& record);
    std::size_t capacity() const {
        return ring_.size();
    }

private:
    static std::size_t bytes_of(const model::Record& record);

    std::vector<char> ring_;
    std::size_t mask_;
    // Positions only grow; a message never wraps: the rest of the ring is skipped instead.
    alignas(64) std::atomic<std::size_t> head_{0};  // made up to here
    std::size_t tail_seen_ = 0;                     // the maker's last look at the other one
    alignas(64) std::atomic<std::size_t> tail_{0};  // read up to here
    std::size_t reading_ = 0;                       // bytes of the message that is being read
};

}  // namespace silverrail::trace

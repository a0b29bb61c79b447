// A bounded queue of records from one thread to another: a ring of bytes of fixed size.
#pragma once

#include <atomic>
#include <cstddef>
#include <vector>

#include "trace/model/records.h"

namespace silverrail::trace {

// One producer thread, one consumer thread. Neither waits nor allocates; what does not fit is rejected.
class RecordQueue {
public:
    // The size is rounded up to a power of two, at least 4096.
    explicit RecordQueue(std::size_t bytes);
    // Producer. Returns false if the queue is full, or the record takes more than a quarter of its bytes.
    bool push(const model::Record& record);
    // Consumer. The record's texts are valid until the next call. Returns false if the queue is empty.
    bool pop(model::Record& record);

private:
    bool has_space(std::size_t head, std::size_t bytes);

    std::vector<char> ring_;
    std::size_t mask_;
    // Positions only grow. A message never wraps: the rest of the ring is skipped instead.
    static constexpr std::size_t kCacheLine = 64;
    alignas(kCacheLine) std::atomic<std::size_t> head_{0};  // written up to here
    std::size_t known_tail_ = 0;                            // as the producer last saw it
    alignas(kCacheLine) std::atomic<std::size_t> tail_{0};  // read up to here
    std::size_t current_bytes_ = 0;                         // of the message that the consumer reads
};

}  // namespace silverrail::trace

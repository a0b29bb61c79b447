// What a recorder reports about itself. Written by its two threads, read by any.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace silverrail::trace {

struct RecorderCounts {
    std::uint64_t records = 0;  // accepted
    std::uint64_t dropped = 0;  // the queue was full
    std::uint64_t lost = 0;     // could not be written
    std::uint64_t bytes = 0;    // written
    std::uint64_t files = 0;
    std::uint64_t dumps = 0;
    std::uint64_t write_errors = 0;
};

// A counter that one thread increments.
class SingleWriterCounter {
public:
    void add(std::uint64_t amount) {
        value_.store(value_.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

struct RecorderCounters {
    // Of the request thread.
    SingleWriterCounter records;
    SingleWriterCounter dropped;
    // Of the writer's thread.
    SingleWriterCounter lost;
    SingleWriterCounter bytes;
    SingleWriterCounter files;
    SingleWriterCounter dumps;
    SingleWriterCounter write_errors;

    RecorderCounts read() const {
        return {records.value(), dropped.value(), lost.value(),        bytes.value(),
                files.value(),   dumps.value(),   write_errors.value()};
    }
};

// Lines for the log, up to a bound; more are discarded until they have been fetched.
class NoticeList {
public:
    void add(std::string text) {
        const std::lock_guard lock{mutex_};
        if (notices_.size() < kMaxNotices)
            notices_.push_back(std::move(text));
    }
    std::vector<std::string> drain() {
        const std::lock_guard lock{mutex_};
        return std::exchange(notices_, {});
    }

private:
    static constexpr std::size_t kMaxNotices = 64;
    std::mutex mutex_;
    std::vector<std::string> notices_;
};

}  // namespace silverrail::trace

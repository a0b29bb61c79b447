// Keeps the process within its memory limit: compares the resident memory with what the budget accounts for,
// sets the budget's capacity to what is left, shrinks the response cache first, and gives free memory back to
// the system.
#pragma once

#include <functional>

#include "limits/memory_budget.h"
#include "net/asio.h"

namespace silverrail::app {

// Makes the allocator give large blocks back to the system as soon as they are freed. For the start of a
// process.
void configure_allocator();

class MemoryMonitor {
public:
    struct Dependencies {
        net::asio::io_context& io;
        limits::MemoryBudget& budget;
        std::function<std::size_t()> cache_bytes;          // in the response cache
        std::function<void(std::size_t)> set_cache_bytes;  // its capacity
        // Called while less than this many bytes are available.
        std::function<void(std::size_t)> release_memory;
    };
    explicit MemoryMonitor(Dependencies dependencies) : with_(std::move(dependencies)), timer_(with_.io) {}

    // What this process may use: `memory_bytes` in all (0: unlimited), and of it `max_cache_bytes` at most
    // for the response cache. Takes effect at once.
    void set_limits(std::size_t memory_bytes, std::size_t max_cache_bytes);

private:
    void poll();
    void schedule();
    // Resident memory that the budget does not account for.
    std::size_t unaccounted_bytes() const;
    void return_free_memory(std::size_t resident);
    void update_capacities();

    Dependencies with_;
    net::asio::steady_timer timer_;
    std::size_t memory_bytes_ = 0;
    std::size_t max_cache_bytes_ = 0;
    std::size_t peak_since_trim_ = 0;  // most bytes in use of the budget
    std::chrono::steady_clock::time_point trimmed_at_{};
};

}  // namespace silverrail::app

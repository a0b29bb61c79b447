#include "app/memory_monitor.h"

#include <malloc.h>

#include <algorithm>

#include "app/resident_memory.h"

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

// Larger blocks are mapped one by one, and unmapped when they are freed.
constexpr int kMappedBlockBytes = 32 * 1024;

constexpr auto kBusyInterval = 50ms;
constexpr auto kIdleInterval = 500ms;
constexpr auto kMinTrimInterval = 500ms;
// The budget counts as idle below this many bytes in use.
constexpr std::size_t kIdleBytes = 256UL * 1024;
constexpr std::size_t kMinTrimBytes = 1024UL * 1024;
// Resident memory of a process without load, where it can't be measured.
constexpr std::size_t kUnloadedBytes = 8UL * 1024 * 1024;
// The budget never falls below this part of the memory limit, so that requests are still served.
constexpr std::size_t kMinCapacityDivisor = 16;
// Part of the capacity that is kept available at the cost of clients that have stopped reading or writing.
constexpr std::size_t kReserveDivisor = 4;

}  // namespace

void configure_allocator() {
    ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

void MemoryMonitor::set_limits(std::size_t memory_bytes, std::size_t max_cache_bytes) {
    const bool started = memory_bytes_ > 0;
    memory_bytes_ = memory_bytes;
    max_cache_bytes_ = max_cache_bytes;
    if (memory_bytes_ == 0)
        return with_.budget.set_capacity(limits::MemoryBudget::kUnlimited);
    update_capacities();
    if (!started)
        schedule();
}

void MemoryMonitor::poll() {
    peak_since_trim_ = std::max(peak_since_trim_, with_.budget.take_peak());
    if (const auto resident = resident_memory_bytes())
        return_free_memory(*resident);
    update_capacities();
    schedule();
}

void MemoryMonitor::schedule() {
    const bool idle = with_.budget.in_use() < kIdleBytes && peak_since_trim_ < kMinTrimBytes;
    timer_.expires_after(idle ? kIdleInterval : kBusyInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            poll();
    });
}

std::size_t MemoryMonitor::unaccounted_bytes() const {
    const auto resident = resident_memory_bytes();
    if (!resident)
        return kUnloadedBytes;
    return *resident - std::min(*resident, with_.budget.in_use());
}

// The allocator keeps small blocks that were freed. They are given back when little is in use, or when
// memory is short.
void MemoryMonitor::return_free_memory(std::size_t resident) {
    const auto now = std::chrono::steady_clock::now();
    const std::size_t in_use = with_.budget.in_use();
    const bool freed_much = peak_since_trim_ >= in_use + kMinTrimBytes;
    const bool short_of_memory = resident > memory_bytes_ / 4 * 3;
    const bool idle = in_use < kIdleBytes;
    if (!(short_of_memory || (idle && freed_much)) || now < trimmed_at_ + kMinTrimInterval)
        return;
    ::malloc_trim(0);
    trimmed_at_ = now;
    peak_since_trim_ = in_use;
}

void MemoryMonitor::update_capacities() {
    const std::size_t unaccounted = unaccounted_bytes();
    const std::size_t cached = std::min(with_.cache_bytes(), unaccounted);
    const std::size_t fixed = unaccounted - cached;
    const std::size_t left = memory_bytes_ - std::min(memory_bytes_, fixed);
    // The cache may use half of what the budget does not.
    const std::size_t for_cache = (left - std::min(left, with_.budget.in_use())) / 2;
    with_.set_cache_bytes(std::min(max_cache_bytes_, for_cache));
    const std::size_t cached_now = std::min(with_.cache_bytes(), cached);
    with_.budget.set_capacity(
        std::max(left - std::min(left, cached_now), memory_bytes_ / kMinCapacityDivisor));
    const std::size_t wanted = with_.budget.capacity() / kReserveDivisor;
    if (with_.budget.available() < wanted || with_.budget.excess(limits::MemoryUse::request_bodies) > 0)
        with_.release_memory(wanted);
}

}  // namespace silverrail::app

#include "lab/faults/fault_source.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>

namespace silverrail::lab {

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr std::int64_t kNsPerSecond = 1'000'000'000;

FaultControl* map_control() {
    const char* path = std::getenv(kFaultFileVariable);
    if (!path)
        return nullptr;
    // Past the wrapper of open(), which asks for this block.
    const long opened = ::syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (opened < 0)
        return nullptr;
    const int file = static_cast<int>(opened);
    void* memory = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<FaultControl*>(memory);
}

FaultControl* control() {
    static FaultControl* const mapped = map_control();
    return mapped;
}

std::uint64_t initial_random_state() {
    const char* seed = std::getenv(kFaultSeedVariable);
    return (seed ? std::strtoull(seed, nullptr, 10) : 1) * 0x9e3779b97f4a7c15U + 1;
}

// Below kFaultParts. Xorshift64*, each thread with a state of its own.
std::uint32_t draw() {
    thread_local std::uint64_t state = initial_random_state();
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return static_cast<std::uint32_t>((state * 0x2545f4914f6cdd1dU) >> 33) % kFaultParts;
}

bool decrement_if_positive(std::atomic<std::uint32_t>& counter) {
    std::uint32_t seen = counter.load();
    while (seen > 0)
        if (counter.compare_exchange_weak(seen, seen - 1))
            return true;
    return false;
}

}  // namespace

bool faults_are_ordered() {
    return control() != nullptr;
}

bool draw_fault(CallFault fault) {
    FaultControl* const orders = control();
    if (!orders)
        return false;
    const auto index = static_cast<std::size_t>(fault);
    const std::uint32_t chance = orders->chance[index].load(std::memory_order_relaxed);
    const bool certain = decrement_if_positive(orders->next[index]);
    if (!certain && (chance == 0 || draw() >= chance))
        return false;
    ++orders->delivered[index];
    return true;
}

void step_wall_clock(timespec& time) {
    const FaultControl* const orders = control();
    if (!orders)
        return;
    const std::int64_t step_ms = orders->wall_clock_ms.load(std::memory_order_relaxed);
    std::int64_t nanoseconds = time.tv_nsec + step_ms % 1000 * kNsPerMs;
    time.tv_sec += step_ms / 1000;
    if (nanoseconds < 0) {
        nanoseconds += kNsPerSecond;
        --time.tv_sec;
    }
    if (nanoseconds >= kNsPerSecond) {
        nanoseconds -= kNsPerSecond;
        ++time.tv_sec;
    }
    time.tv_nsec = nanoseconds;
}

}  // namespace silverrail::lab

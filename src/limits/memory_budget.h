// One budget of bytes for the data that a process holds on behalf of clients and servers. Every buffer whose
// size another machine decides draws on it, so that their sum is bounded and not only each of them. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace silverrail::limits {

enum class MemoryUse : std::uint8_t {
    client_connections,  // their state, and bytes received and not parsed yet
    request_bodies,      // of incomplete requests, and of requests in progress
    server_responses,    // as they are read
    client_responses,    // not written yet
    count_
};
inline constexpr std::size_t kMemoryUses = static_cast<std::size_t>(MemoryUse::count_);
// The use's name in counters.
std::string_view name_of(MemoryUse use);

class MemoryBudget {
public:
    static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

    explicit MemoryBudget(std::size_t capacity_bytes = kUnlimited) : capacity_(capacity_bytes) {}
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    // A capacity below the bytes in use refuses all further growth until enough has been released.
    void set_capacity(std::size_t bytes) {
        capacity_ = bytes;
    }
    std::size_t capacity() const {
        return capacity_;
    }
    std::size_t in_use() const {
        return in_use_;
    }
    std::size_t in_use(MemoryUse use) const {
        return by_use_[static_cast<std::size_t>(use)];
    }
    std::size_t available() const {
        return capacity_ > in_use_ ? capacity_ - in_use_ : 0;
    }
    // The bytes by which `use` exceeds its share of the capacity; 0: it may grow.
    std::size_t excess(MemoryUse use) const;
    // The most bytes in use since the last call.
    std::size_t take_peak();
    std::uint64_t refusals(MemoryUse use) const {
        return refusals_[static_cast<std::size_t>(use)];
    }

private:
    friend class MemoryReservation;
    bool fits(MemoryUse use, std::size_t bytes) const;
    std::size_t share(MemoryUse use) const;
    void take(MemoryUse use, std::size_t bytes);
    void give_back(MemoryUse use, std::size_t bytes);

    std::size_t capacity_;
    std::size_t in_use_ = 0;
    std::size_t peak_ = 0;
    std::array<std::size_t, kMemoryUses> by_use_{};
    std::array<std::uint64_t, kMemoryUses> refusals_{};
};

// The bytes that one buffer holds of a budget; released with it.
class MemoryReservation {
public:
    // `budget` must outlive the reservation, unless that is empty by then.
    MemoryReservation(MemoryBudget& budget, MemoryUse use) : budget_(budget), use_(use) {}
    ~MemoryReservation() {
        resize(0);
    }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    // Returns false, and changes nothing, if the budget has no room for the growth.
    [[nodiscard]] bool try_resize(std::size_t bytes);
    // For what is held already, or bounded elsewhere: never refused.
    void resize(std::size_t bytes);
    std::size_t bytes() const {
        return bytes_;
    }

private:
    MemoryBudget& budget_;
    MemoryUse use_;
    std::size_t bytes_ = 0;
};

}  // namespace silverrail::limits

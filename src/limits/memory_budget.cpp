#include "limits/memory_budget.h"

#include <algorithm>
#include <utility>

namespace silverrail::limits {

namespace {

constexpr std::array<std::string_view, kMemoryUses> kUseNames{"clients", "requests", "server_answers",
                                                              "answers"};
// The bodies of requests get at most this share, so that the answers to them always find room.
constexpr std::size_t kBodiesDivisor = 2;

}  // namespace

std::string_view name_of(MemoryUse use) {
    return kUseNames[static_cast<std::size_t>(use)];
}

std::size_t MemoryBudget::share(MemoryUse use) const {
    return use == MemoryUse::request_bodies ? capacity_ / kBodiesDivisor : capacity_;
}

bool MemoryBudget::fits(MemoryUse use, std::size_t bytes) const {
    if (bytes > available())
        return false;
    const std::size_t used = in_use(use);
    return used <= share(use) && bytes <= share(use) - used;
}

std::size_t MemoryBudget::excess(MemoryUse use) const {
    const std::size_t over_share = in_use(use) > share(use) ? in_use(use) - share(use) : 0;
    const std::size_t over_capacity = in_use_ > capacity_ ? in_use_ - capacity_ : 0;
    return std::max(over_share, over_capacity);
}

std::size_t MemoryBudget::take_peak() {
    return std::exchange(peak_, in_use_);
}

void MemoryBudget::take(MemoryUse use, std::size_t bytes) {
    in_use_ += bytes;
    by_use_[static_cast<std::size_t>(use)] += bytes;
    peak_ = std::max(peak_, in_use_);
}

void MemoryBudget::give_back(MemoryUse use, std::size_t bytes) {
    in_use_ -= bytes;
    by_use_[static_cast<std::size_t>(use)] -= bytes;
}

bool MemoryReservation::try_resize(std::size_t bytes) {
    if (bytes > bytes_ && !budget_.fits(use_, bytes - bytes_)) {
        ++budget_.refusals_[static_cast<std::size_t>(use_)];
        return false;
    }
    resize(bytes);
    return true;
}

// An empty reservation may outlive the budget.
void MemoryReservation::resize(std::size_t bytes) {
    if (bytes == bytes_)
        return;
    if (bytes > bytes_)
        budget_.take(use_, bytes - bytes_);
    else
        budget_.give_back(use_, bytes_ - bytes);
    bytes_ = bytes;
}

}  // namespace silverrail::limits

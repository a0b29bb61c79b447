// Says when failures have become so many that what led to them should be kept. No I/O, no clock.
#pragma once

#include <array>
#include <cstdint>

namespace silverrail::state {

struct FailureTriggerSettings {
    double share = 0;  // of the answers in the window; 0: never
    std::int64_t window_ns = 10'000'000'000;
    std::uint64_t least = 50;                    // fewer answers say nothing
    std::int64_t hold_off_ns = 600'000'000'000;  // from one time to the next
};

class FailureTrigger {
public:
    explicit FailureTrigger(FailureTriggerSettings settings) : settings_(settings) {}
    // One more answer; times do not run backwards. True: now.
    bool answered(bool failed, std::int64_t at);
    double share() const {
        return all_ ? static_cast<double>(failed_) / static_cast<double>(all_) : 0;
    }

private:
    // The window moves by a tenth of itself.
    static constexpr std::size_t kSlots = 10;
    struct Slot {
        std::uint64_t all = 0;
        std::uint64_t failed = 0;
    };
    void move_to(std::int64_t slot);

    FailureTriggerSettings settings_;
    std::array<Slot, kSlots> slots_{};
    std::int64_t slot_ = 0;
    bool any_ = false;
    std::uint64_t all_ = 0;
    std::uint64_t failed_ = 0;
    std::int64_t quiet_until_ = 0;
    bool fired_ = false;
};

}  // namespace silverrail::state

// Detects a high failure rate, so that the records that led to it can be saved. No I/O, no clock.
#pragma once

#include <array>
#include <cstdint>

namespace silverrail::trace::model {

struct FailureTriggerSettings {
    double failed_share = 0;  // of the responses in the window; 0: never triggers
    std::int64_t window_ns = 10'000'000'000;
    std::uint64_t min_responses = 50;  // in the window
    std::int64_t min_interval_ns = 600'000'000'000;
};

class FailureTrigger {
public:
    explicit FailureTrigger(FailureTriggerSettings settings) : settings_(settings) {}
    // Counts a response at time `at`, which must not decrease. Returns true if the trigger fires. O(1).
    bool add_response(bool failed, std::int64_t at);
    // Of the responses in the window.
    double failed_share() const {
        return total_ ? static_cast<double>(failed_) / static_cast<double>(total_) : 0;
    }

private:
    // The window advances by one slot at a time.
    static constexpr std::size_t kSlots = 10;
    struct Slot {
        std::uint64_t total = 0;
        std::uint64_t failed = 0;
    };
    void advance_to(std::int64_t slot);

    FailureTriggerSettings settings_;
    std::array<Slot, kSlots> slots_{};
    std::int64_t current_slot_ = 0;
    bool has_responses_ = false;
    std::uint64_t total_ = 0;
    std::uint64_t failed_ = 0;
    std::int64_t quiet_until_ = 0;
    bool has_fired_ = false;
};

}  // namespace silverrail::trace::model

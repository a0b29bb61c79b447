#include "trace/model/failure_trigger.h"

#include <algorithm>

namespace silverrail::trace::model {

void FailureTrigger::advance_to(std::int64_t slot) {
    if (!has_responses_)
        current_slot_ = slot;
    has_responses_ = true;
    const std::int64_t steps = std::min<std::int64_t>(slot - current_slot_, kSlots);
    for (std::int64_t i = 1; i <= steps; ++i) {
        Slot& expired = slots_[static_cast<std::size_t>(current_slot_ + i) % kSlots];
        total_ -= expired.total;
        failed_ -= expired.failed;
        expired = {};
    }
    current_slot_ = std::max(current_slot_, slot);
}

bool FailureTrigger::add_response(bool failed, std::int64_t at) {
    if (settings_.failed_share <= 0)
        return false;
    const std::int64_t slot_ns =
        std::max<std::int64_t>(1, settings_.window_ns / static_cast<std::int64_t>(kSlots));
    const std::int64_t slot = std::max<std::int64_t>(0, at) / slot_ns;
    if (!has_responses_ || slot > current_slot_)
        advance_to(slot);
    Slot& current = slots_[static_cast<std::size_t>(current_slot_) % kSlots];
    ++current.total;
    ++total_;
    current.failed += failed;
    failed_ += failed;
    if (!failed || total_ < settings_.min_responses || failed_share() < settings_.failed_share)
        return false;
    if (has_fired_ && at < quiet_until_)
        return false;
    has_fired_ = true;
    quiet_until_ = at + settings_.min_interval_ns;
    return true;
}

}  // namespace silverrail::trace::model

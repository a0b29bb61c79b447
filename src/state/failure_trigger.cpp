#include "state/failure_trigger.h"

#include <algorithm>

namespace silverrail::state {

void FailureTrigger::move_to(std::int64_t slot) {
    if (!any_)
        slot_ = slot;
    any_ = true;
    const std::int64_t by = std::min<std::int64_t>(slot - slot_, kSlots);
    for (std::int64_t i = 1; i <= by; ++i) {
        Slot& old = slots_[static_cast<std::size_t>(slot_ + i) % kSlots];
        all_ -= old.all;
        failed_ -= old.failed;
        old = {};
    }
    slot_ = std::max(slot_, slot);
}

bool FailureTrigger::answered(bool failed, std::int64_t at) {
    if (settings_.share <= 0)
        return false;
    const std::int64_t width =
        std::max<std::int64_t>(1, settings_.window_ns / static_cast<std::int64_t>(kSlots));
    if (const std::int64_t slot = std::max<std::int64_t>(0, at) / width; !any_ || slot > slot_)
        move_to(slot);
    Slot& now = slots_[static_cast<std::size_t>(slot_) % kSlots];
    ++now.all;
    ++all_;
    now.failed += failed;
    failed_ += failed;
    if (!failed || all_ < settings_.least || share() < settings_.share)
        return false;
    if (fired_ && at < quiet_until_)
        return false;
    fired_ = true;
    quiet_until_ = at + settings_.hold_off_ns;
    return true;
}

}  // namespace silverrail::state

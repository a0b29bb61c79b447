#include "trace/recorder/loss_tracker.h"

#include <utility>

namespace silverrail::trace {

void LossTracker::mark_written() {
    buffered_ = 0;
    reported_in_buffer_ = 0;
}

std::uint64_t LossTracker::lose_buffered() {
    if (unreported_ == 0 && reported_in_buffer_ == 0)
        first_lost_ = last_lost_;
    unreported_ += buffered_ + std::exchange(reported_in_buffer_, 0);
    return std::exchange(buffered_, 0);
}

void LossTracker::add_lost(std::int64_t at) {
    if (unreported_++ == 0)
        first_lost_ = at;
    last_lost_ = at;
}

std::optional<model::Gap> LossTracker::report() {
    if (unreported_ == 0)
        return std::nullopt;
    reported_in_buffer_ = std::exchange(unreported_, 0);
    return model::Gap{reported_in_buffer_, first_lost_, last_lost_};
}

}  // namespace silverrail::trace

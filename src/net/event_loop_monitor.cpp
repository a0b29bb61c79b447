#include "net/event_loop_monitor.h"

namespace silverrail::net {

core::Time EventLoopMonitor::earliest_arrival() const {
    const core::Time now = clock_.now();
    if (is_pause(now))
        return last_tick_;
    // Handlers that became ready during the pause run right after the tick that detected it.
    const bool right_after_pause = last_pause_begin_ != core::Time{} && now < last_pause_end_ + kInterval;
    return right_after_pause ? last_pause_begin_ : now;
}

void EventLoopMonitor::tick() {
    const core::Time now = clock_.now();
    if (is_pause(now)) {
        last_pause_begin_ = last_tick_;
        last_pause_end_ = now;
        longest_pause_ = std::max(longest_pause_, now - last_tick_);
        ++pauses_;
    }
    last_tick_ = now;
    timer_.expires_after(kInterval);
    timer_.async_wait([this](const error_code& error) {
        if (!error)
            tick();
    });
}

}  // namespace silverrail::net

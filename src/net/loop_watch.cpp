#include "net/loop_watch.h"

namespace silverrail::net {

core::Time LoopWatch::earliest_arrival() const {
    const core::Time now = clock_.now();
    if (now - last_ > kPeriod + kLate)
        return last_;
    // Whatever was ready with the beat that saw the pause is handled right after it.
    if (paused_from_ != core::Time{} && now < paused_until_ + kPeriod)
        return paused_from_;
    return now;
}

void LoopWatch::beat() {
    const core::Time now = clock_.now();
    if (now - last_ > kPeriod + kLate) {
        paused_from_ = last_;
        paused_until_ = now;
        longest_ = std::max(longest_, now - last_);
        ++pauses_;
    }
    last_ = now;
    timer_.expires_after(kPeriod);
    timer_.async_wait([this](const error_code& error) {
        if (!error)
            beat();
    });
}

}  // namespace silverrail::net

// Detects pauses of the event loop, in which the process had no processor or was stopped. Data read from a
// socket right after a pause may have arrived at any time during it, so the beginning of the pause is taken
// as its time of arrival.
#pragma once

#include "net/asio.h"
#include "net/clock.h"

namespace silverrail::net {

class EventLoopMonitor {
public:
    explicit EventLoopMonitor(asio::io_context& io) : timer_(io), last_tick_(clock_.now()) {
        tick();
    }
    // The earliest time at which data now found in a socket can have arrived. While the loop runs without
    // pauses, it is at most kInterval + kMaxDelay before the true time.
    core::Time earliest_arrival() const;
    std::uint64_t pauses() const {
        return pauses_;
    }
    core::Span longest_pause() const {
        return longest_pause_;
    }

private:
    static constexpr std::chrono::milliseconds kInterval{40};
    static constexpr std::chrono::milliseconds kMaxDelay{30};  // of a tick that waits for other handlers
    void tick();
    bool is_pause(core::Time now) const {
        return now - last_tick_ > kInterval + kMaxDelay;
    }

    SystemClock clock_;
    asio::steady_timer timer_;
    core::Time last_tick_;
    core::Time last_pause_begin_{};
    core::Time last_pause_end_{};
    core::Span longest_pause_{};
    std::uint64_t pauses_ = 0;
};

}  // namespace silverrail::net

// Detects stalls of the event loop: the process had no processor, or was stopped. What is read from a socket
// right after a stall may have arrived at any moment of it, and counts from its beginning.
#pragma once

#include "net/asio.h"
#include "net/clock.h"

namespace silverrail::net {

class EventLoopMonitor {
public:
    explicit EventLoopMonitor(asio::io_context& io) : timer_(io), last_tick_(clock_.now()) {
        tick();
    }
    // The earliest moment at which data can have arrived that is found in a socket now. While the loop runs
    // as it should, at most kInterval + kMaxDelay before the true one.
    core::Time earliest_arrival() const;
    std::uint64_t pauses() const {
        return pauses_;
    }
    core::Span longest_pause() const {
        return longest_pause_;
    }

private:
    static constexpr std::chrono::milliseconds kInterval{40};
    static constexpr std::chrono::milliseconds kMaxDelay{30};  // of a tick, behind other handlers
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

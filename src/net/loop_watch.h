// Sees when the event loop has not run for a while: the process had no processor, or was stopped. What is
// read from a socket right after such a pause may have come at any moment of it, and counts from its
// beginning.
#pragma once

#include "net/asio.h"
#include "net/clock.h"

namespace silverrail::net {

class LoopWatch {
public:
    explicit LoopWatch(asio::io_context& io) : timer_(io), last_(clock_.now()) {
        beat();
    }
    // The earliest moment at which something can have come that is found in a socket now. No more than
    // kPeriod + kLate before the truth where the loop runs as it should.
    core::Time earliest_arrival() const;
    std::uint64_t pauses() const {
        return pauses_;
    }
    core::Span longest_pause() const {
        return longest_;
    }

private:
    static constexpr std::chrono::milliseconds kPeriod{40};
    static constexpr std::chrono::milliseconds kLate{30};  // the beat's own wait behind other handlers
    void beat();

    SystemClock clock_;
    asio::steady_timer timer_;
    core::Time last_;           // the last beat
    core::Time paused_from_{};  // the last pause
    core::Time paused_until_{};
    core::Span longest_{};
    std::uint64_t pauses_ = 0;
};

}  // namespace silverrail::net

// The system clocks, and the core's timers implemented on an io_context.
#pragma once

#include <chrono>
#include <map>

#include "core/ports.h"
#include "net/asio.h"

namespace silverrail::net {

class SystemClock : public core::Clock {
public:
    // Truncated to whole microseconds, so that a trace can store the times passed to the decision module
    // exactly, in half the bytes.
    core::Time now() const override {
        return core::Time{std::chrono::floor<std::chrono::microseconds>(
            std::chrono::steady_clock::now().time_since_epoch())};
    }
    std::int64_t unix_ms() const override {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
};

// Runs all timers on one steady_timer.
class TimerQueue : public core::Timers {
public:
    explicit TimerQueue(asio::io_context& io) : timer_(io) {}
    Handle at(core::Time when, std::function<void()> action) override;
    void cancel(Handle handle) override;
    std::size_t size() const {
        return queue_.size();
    }

private:
    using Key = std::pair<core::Time, Handle>;
    void arm();
    void fire();

    asio::steady_timer timer_;
    SystemClock clock_;
    std::map<Key, std::function<void()>> queue_;
    std::map<Handle, core::Time> due_times_;
    core::Time armed_for_{};  // when timer_ expires; zero: not armed
    Handle last_handle_ = 0;
};

}  // namespace silverrail::net

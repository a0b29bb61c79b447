// The system's clocks, and the core's timers on the io_context.
#pragma once

#include <chrono>
#include <map>

#include "core/ports.h"
#include "net/asio.h"

namespace silverrail::net {

class SystemClock : public core::Clock {
public:
    // In whole microseconds: what the module is told can then be kept in a trace at half the bytes, exactly.
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

// All timers on one steady_timer.
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
    std::map<Handle, core::Time> due_;
    core::Time armed_{};
    Handle last_ = 0;
};

}  // namespace silverrail::net

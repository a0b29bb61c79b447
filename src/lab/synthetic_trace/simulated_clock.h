// A simulated router's clocks and timers.
#pragma once

#include <functional>
#include <set>

#include "core/ports.h"
#include "lab/synthetic_trace/event_scheduler.h"

namespace silverrail::lab {

// How far a router's clocks are from the true time.
struct ClockError {
    double offset_ms = 0;  // of the Unix clock, at the simulation's begin
    double drift_ppm = 0;  // of both clocks; above 0: they run fast
};

class SimulatedClock : public core::Clock {
public:
    using Duration = EventScheduler::Duration;

    // `steady_origin`: what the monotonic clock shows at the simulation's begin. The scheduler must outlive
    // the clock.
    SimulatedClock(const EventScheduler& scheduler, std::int64_t begin_unix_ns, Duration steady_origin,
                   const ClockError& error);
    core::Time now() const override;  // in whole microseconds
    std::int64_t unix_ms() const override;
    std::int64_t steady_ns() const;
    std::int64_t unix_ns() const;
    // By a clock without error, as the origin's.
    std::int64_t true_unix_ns() const;
    // The simulated time at which the monotonic clock shows at least `time`.
    Duration simulated_time(core::Time time) const;

private:
    Duration elapsed() const;

    const EventScheduler& scheduler_;
    std::int64_t begin_unix_ns_;
    Duration steady_origin_;
    Duration unix_offset_;
    double drift_;  // as a fraction
};

// Both arguments must outlive the timers, and the timers the scheduler's last step.
class SimulatedTimers : public core::Timers {
public:
    SimulatedTimers(EventScheduler& scheduler, const SimulatedClock& clock)
        : scheduler_(scheduler), clock_(clock) {}
    Handle at(core::Time when, std::function<void()> action) override;
    void cancel(Handle handle) override;

private:
    EventScheduler& scheduler_;
    const SimulatedClock& clock_;
    std::set<Handle> active_;
    Handle last_handle_ = 0;
};

}  // namespace silverrail::lab

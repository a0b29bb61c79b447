// Discrete-event simulation: simulated time moves from one scheduled action to the next.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace silverrail::lab {

// Simulated time counts from 0, the begin of the simulation. Actions due at the same time run in the order in
// which they were scheduled, so that a run depends on its seed alone. One thread.
class EventScheduler {
public:
    using Duration = std::chrono::nanoseconds;
    using Action = std::function<void()>;

    Duration now() const {
        return now_;
    }
    // A time that has passed means now. What `action` refers to must outlive the last call of `run_next`.
    void schedule_at(Duration time, Action action);
    void schedule_after(Duration delay, Action action) {
        schedule_at(now_ + delay, std::move(action));
    }
    // Runs the next action that is due by `end`. Returns false if there is none.
    bool run_next(Duration end);

private:
    struct Due {
        Duration time;
        std::uint64_t sequence;
        auto operator<=>(const Due&) const = default;
    };
    std::map<Due, Action> queue_;
    Duration now_{0};
    std::uint64_t last_sequence_ = 0;
};

// Truncated to whole nanoseconds.
inline EventScheduler::Duration from_seconds(double seconds) {
    return EventScheduler::Duration{static_cast<EventScheduler::Duration::rep>(seconds * 1e9)};
}

}  // namespace silverrail::lab

#include "lab/synthetic_trace/simulated_clock.h"

#include <chrono>
#include <cmath>
#include <utility>

namespace silverrail::lab {

using namespace std::chrono_literals;

namespace {

constexpr auto kClockResolution = 1us;
constexpr std::int64_t kNsPerMs = 1'000'000;

}  // namespace

SimulatedClock::SimulatedClock(const EventScheduler& scheduler, std::int64_t begin_unix_ns,
                               Duration steady_origin, const ClockError& error)
    : scheduler_(scheduler),
      begin_unix_ns_(begin_unix_ns),
      steady_origin_(steady_origin),
      unix_offset_(static_cast<Duration::rep>(error.offset_ms * 1e6)),
      drift_(error.drift_ppm / 1e6) {}

SimulatedClock::Duration SimulatedClock::elapsed() const {
    const Duration true_time = scheduler_.now();
    const double drift_ns = static_cast<double>(true_time.count()) * drift_;
    return true_time + Duration{static_cast<Duration::rep>(drift_ns)};
}

core::Time SimulatedClock::now() const {
    return core::Time{core::Span{steady_ns()}};
}

std::int64_t SimulatedClock::unix_ms() const {
    return unix_ns() / kNsPerMs;
}

std::int64_t SimulatedClock::steady_ns() const {
    const auto shown = std::chrono::duration_cast<std::chrono::microseconds>(steady_origin_ + elapsed());
    return Duration{shown}.count();
}

std::int64_t SimulatedClock::unix_ns() const {
    return begin_unix_ns_ + (unix_offset_ + elapsed()).count();
}

std::int64_t SimulatedClock::true_unix_ns() const {
    return begin_unix_ns_ + scheduler_.now().count();
}

SimulatedClock::Duration SimulatedClock::simulated_time(core::Time time) const {
    const Duration since_begin = time.time_since_epoch() - steady_origin_;
    const double true_ns = static_cast<double>(since_begin.count()) / (1 + drift_);
    return Duration{static_cast<Duration::rep>(std::ceil(true_ns))} + kClockResolution;
}

core::Timers::Handle SimulatedTimers::at(core::Time when, std::function<void()> action) {
    const Handle handle = ++last_handle_;
    active_.insert(handle);
    scheduler_.schedule_at(clock_.simulated_time(when), [this, handle, action = std::move(action)] {
        if (active_.erase(handle) > 0)
            action();
    });
    return handle;
}

void SimulatedTimers::cancel(Handle handle) {
    active_.erase(handle);
}

}  // namespace silverrail::lab

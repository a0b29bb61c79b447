#include "app/graceful_shutdown.h"

#include <algorithm>

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

// After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more.
constexpr auto kDrainPeriod = 700ms;

// SIGKILL follows SIGTERM after the longest deadline, counted as 3 s at most, and this much more.
constexpr core::Span kMaxCountedDeadline = 3s;
constexpr core::Span kKillMargin = 700ms;
// Time for the last answers to leave before SIGKILL.
constexpr core::Span kWriteMargin = 200ms;

constexpr auto kPollInterval = 10ms;

core::Span grace_period(const routing::Settings& settings) {
    const core::Span longest = core::longest_client_timeout(settings);
    const bool known = longest > core::Span{};
    const core::Span counted = known ? std::min(longest, kMaxCountedDeadline) : kMaxCountedDeadline;
    return counted + kKillMargin - kWriteMargin;
}

}  // namespace

GracefulShutdown::GracefulShutdown(Dependencies dependencies, const routing::Settings& settings)
    : with_(std::move(dependencies)), grace_period_(grace_period(settings)), timer_(with_.io) {}

void GracefulShutdown::enter(Lifecycle::Phase phase) {
    switch (phase) {
        case Lifecycle::Phase::draining:
            return drain();
        case Lifecycle::Phase::finishing:
            return finish();
        case Lifecycle::Phase::stopped:
            return with_.io.stop();
        case Lifecycle::Phase::starting:
        case Lifecycle::Phase::ready:
            return;
    }
}

void GracefulShutdown::drain() {
    answer_by_ = with_.clock.now() + grace_period_;
    // New connections belong to the successor, which listens at the same address.
    if (with_.successor_runs())
        with_.server.stop_accepting();
    timer_.expires_after(kDrainPeriod);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            with_.lifecycle.enter(Lifecycle::Phase::finishing);
    });
}

void GracefulShutdown::finish() {
    with_.server.stop();
    with_.stop_parts();
    finish_when_idle();
}

// Ends once every request has its answer and every answer is written. A server may hang for longer than
// SIGKILL waits, so requests that are still open shortly before that are failed.
void GracefulShutdown::finish_when_idle() {
    if (with_.clock.now() >= answer_by_)
        with_.engine.fail_all();
    if (with_.engine.open() == 0 && with_.server.done()) {
        with_.lifecycle.enter(Lifecycle::Phase::stopped);
        return;
    }
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            finish_when_idle();
    });
}

}  // namespace silverrail::app

#include "limits/connection_eviction.h"

namespace silverrail::limits {

namespace {
using namespace std::chrono_literals;
// Ordinary clients send a request within this time of connecting (docs/capacity.md, Core).
constexpr auto kNewcomerTime = 1s;
// Any received byte counts as progress; a connection without one for longer than this is stalled.
constexpr auto kStallTime = 1s;
}  // namespace

std::optional<EvictionPriority> eviction_priority(const ConnectionActivity& activity) {
    using Phase = ConnectionActivity::Phase;
    if (activity.phase == Phase::answering)
        return std::nullopt;
    if (activity.phase == Phase::closing)
        return EvictionPriority::closing;
    if (activity.request_begun)
        return activity.idle_for > kStallTime ? std::optional{EvictionPriority::stalled} : std::nullopt;
    if (activity.has_sent_request)
        return EvictionPriority::idle;
    return activity.idle_for < kNewcomerTime ? EvictionPriority::newcomer : EvictionPriority::silent;
}

}  // namespace silverrail::limits

#include "limits/connection_eviction.h"

namespace silverrail::limits {

namespace {
using namespace std::chrono_literals;
// Usual clients send a request within this of connecting (docs/capacity.md, Core).
constexpr auto kNewcomerTime = 1s;
// Pieces of any size are progress; a pause of this length is not.
constexpr auto kStallTime = 1s;
}  // namespace

std::optional<EvictionClass> eviction_class(const ConnectionActivity& activity) {
    using Phase = ConnectionActivity::Phase;
    if (activity.phase == Phase::answering)
        return std::nullopt;
    if (activity.phase == Phase::closing)
        return EvictionClass::closing;
    if (activity.request_begun)
        return activity.idle_for > kStallTime ? std::optional{EvictionClass::stalled} : std::nullopt;
    if (activity.has_sent_request)
        return EvictionClass::idle;
    return activity.idle_for < kNewcomerTime ? EvictionClass::newcomer : EvictionClass::silent;
}

}  // namespace silverrail::limits

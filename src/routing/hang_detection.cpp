#include "routing/hang_detection.h"

#include <algorithm>

namespace silverrail::routing {

namespace {

// Multiple of a server's mean latency after which an attempt may be hung.
constexpr double kUsualLatencyFactor = 3;

}  // namespace

double HangDetector::relative_wait(const OpenRequest& open, const Attempt& attempt, Time now) const {
    return work_.relative_latency(open.request, now - attempt.sent_at);
}

bool HangDetector::is_hung(const OpenRequest& open, const Attempt& attempt, Time now) const {
    const ServerState* target = servers_.find(attempt.target, attempt.target_process);
    if (!target || target->last_alive <= attempt.sent_at)
        return false;
    const ServerState* source =
        attempt.source ? servers_.find(*attempt.source, attempt.source_process) : nullptr;
    const double usual = std::max(target->relative_latency, source ? source->relative_latency : 0);
    const double least = attempt.source ? kHungFillAfter : kHungAfter;
    return relative_wait(open, attempt, now) > std::max(least, kUsualLatencyFactor * usual);
}

}  // namespace silverrail::routing

#include "routing/hang_detection.h"

#include <algorithm>

#include "routing/durations.h"

namespace silverrail::routing {

namespace {

constexpr double kUsualLatencies = 3;   // so many usual latencies are not waited for
constexpr double kMinObjective = 1e-3;  // seconds

}  // namespace

double HangDetector::waited(const OpenRequest& open, const Attempt& attempt, Time now) const {
    const double objective = to_seconds(work_.latency_objective(open.request));
    return to_seconds(now - attempt.sent_at) / std::max(kMinObjective, objective);
}

bool HangDetector::is_hung(const OpenRequest& open, const Attempt& attempt, Time now) const {
    const ServerState* target = servers_.find(attempt.target);
    if (!target || target->last_alive <= attempt.sent_at)
        return false;
    const ServerState* source = attempt.source ? servers_.find(*attempt.source) : nullptr;
    const double usual = std::max(target->relative_latency, source ? source->relative_latency : 0);
    const double least = attempt.source ? kHungFillAfter : kHungAfter;
    return waited(open, attempt, now) > std::max(least, kUsualLatencies * usual);
}

}  // namespace silverrail::routing

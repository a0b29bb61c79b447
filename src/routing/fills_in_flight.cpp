#include "routing/fills_in_flight.h"

#include <algorithm>

#include "routing/durations.h"

namespace silverrail::routing {

namespace {

// Maximum duration of a hit, in multiples of the response's expected sending time.
constexpr double kHitDuration = 1.5;

}  // namespace

double FillsInFlight::probability_of_fill(const OpenRequest& open, const Attempt& attempt, Time now) const {
    if (!attempt.source && !attempt.direct_read)
        return 0;
    if (hangs_.is_hung(open, attempt, now))
        return 0;  // a hung attempt transfers no bytes
    const double hit_duration = kHitDuration * work_.of_request(open.request);
    const bool certain =
        attempt.direct_read || attempt.known_miss || to_seconds(now - attempt.sent_at) > hit_duration;
    return certain ? 1 : capacity_.miss_share();
}

double FillsInFlight::expected(Time now) const {
    double sum = 0;
    for (const auto& [id, open] : requests_)
        if (const Attempt* attempt = open.attempt_in_flight())
            sum += probability_of_fill(open, *attempt, now);
    return sum;
}

double FillsInFlight::expected_at(const ServerState& server, Time now) const {
    double sum = 0;
    for (const auto& [id, open] : requests_) {
        const Attempt* attempt = open.attempt_in_flight();
        if (attempt && (attempt->source == server.id || attempt->target == server.id))
            sum += probability_of_fill(open, *attempt, now);
    }
    return sum;
}

double FillsInFlight::origin_fetches() const {
    return static_cast<double>(std::count_if(requests_.begin(), requests_.end(), [this](const auto& entry) {
        const OpenRequest& open = entry.second;
        const Attempt* attempt = open.attempt_in_flight();
        return attempt && attempt->runs_at_origin && !settings_.classes[open.request.class_index].uncached;
    }));
}

}  // namespace silverrail::routing

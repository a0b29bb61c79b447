#include "core/accounting.h"

#include <algorithm>

namespace silverrail::core {

routing::Outcome Accounting::record(const AttemptKey& key, const AttemptResult& result,
                                    const ActiveAttempt& attempt, bool request_completed, Time now) {
    const auto status_index = static_cast<std::size_t>(result.attempt_status);
    if (status_index < counters_.attempts_by_status.size())
        ++counters_.attempts_by_status[status_index];
    routing::Outcome outcome;
    outcome.request = key.request;
    outcome.attempt = key.attempt;
    outcome.attempt_status = result.attempt_status;
    outcome.duration = std::max(Span{}, now - attempt.started);
    outcome.request_completed = request_completed;
    outcome.cache_status = result.cache_status;
    outcome.source_wait = result.source_wait;
    outcome.load = result.load;
    return outcome;
}

}  // namespace silverrail::core

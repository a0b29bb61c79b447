// Counts ended attempts by status and converts their results into outcomes for the decision module.
#pragma once

#include "core/active_request.h"
#include "core/counters.h"

namespace silverrail::core {

class Accounting {
public:
    explicit Accounting(Counters& counters) : counters_(counters) {}
    // `request_completed`: the request has been answered, or is answered with this result.
    routing::Outcome record(const AttemptKey& key, const AttemptResult& result, const ActiveAttempt& attempt,
                            bool request_completed, Time now);

private:
    Counters& counters_;
};

}  // namespace silverrail::core

// Accounting: counts how an attempt ended and makes of it the outcome for the decision module.
#pragma once

#include "core/active_request.h"
#include "core/counters.h"

namespace silverrail::core {

class Accounting {
public:
    explicit Accounting(Counters& counters) : counters_(counters) {}
    // `request_completed`: the client has its final answer, or gets it by this attempt.
    routing::Outcome record(const AttemptKey& key, const AttemptResult& result, const ActiveAttempt& attempt,
                            bool request_completed, Time now);

private:
    Counters& counters_;
};

}  // namespace silverrail::core

// Book: what the module is told of an attempt's end.
#pragma once

#include "core/counters.h"
#include "core/open_call.h"

namespace silverrail::core {

class Book {
public:
    explicit Book(Counters& counters) : counters_(counters) {}
    routing::Outcome outcome(const AttemptKey& key, const AttemptEnd& end, const OpenAttempt& attempt,
                             bool over, Time now);

private:
    Counters& counters_;
};

}  // namespace silverrail::core

#include "core/book.h"

#include <algorithm>

namespace silverrail::core {

routing::Outcome Book::outcome(const AttemptKey& key, const AttemptEnd& end, const OpenAttempt& attempt,
                               bool over, Time now) {
    const auto at = static_cast<std::size_t>(end.attempt_status);
    if (at < counters_.endings.size())
        ++counters_.endings[at];
    routing::Outcome o;
    o.request = key.request;
    o.attempt = key.attempt;
    o.attempt_status = end.attempt_status;
    o.duration = std::max(Span{}, now - attempt.sent);
    o.request_completed = over;
    o.cache_status = end.cache_status;
    o.source_wait = end.source_wait;
    o.load = end.load;
    return o;
}

}  // namespace silverrail::core

#include "core/book.h"

#include <algorithm>

namespace silverrail::core {

winchflow::Outcome Book::outcome(const AttemptKey& key, const AttemptEnd& end, const OpenAttempt& attempt,
                                 bool over, Time now) {
    const auto at = static_cast<std::size_t>(end.ending);
    if (at < counters_.endings.size())
        ++counters_.endings[at];
    winchflow::Outcome o;
    o.request = key.request;
    o.attempt = key.attempt;
    o.ending = end.ending;
    o.took = std::max(Span{}, now - attempt.sent);
    o.over = over;
    o.note = end.note;
    o.source_wait = end.source_wait;
    o.load = end.load;
    return o;
}

}  // namespace silverrail::core

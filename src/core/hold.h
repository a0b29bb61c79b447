// Hold: the stage before route. A call that one of the router's own copies answers goes no further, and one
// that the module gives up gets what is held before it is refused.
#pragma once

#include "copies/copies.h"
#include "core/counters.h"
#include "core/open_call.h"
#include "core/purges.h"

namespace silverrail::core {

class Hold {
public:
    Hold(const routing::Settings& settings, const Purges& purges, Counters& counters)
        : settings_(settings),
          longest_call_(longest_deadline(settings)),
          purges_(purges),
          counters_(counters) {}
    void set(copies::Limits limits) {
        copies_.emplace(settings_.classes, limits);
    }
    void told_of_purges(bool surely);
    void limit(std::size_t bytes) {
        if (copies_)
            copies_->limit(bytes);
    }

    // `unix_ms`: the latest that it may be, so that no copy counts as younger than it is.
    std::optional<Answer> answer(const Call& call, std::size_t class_index, Time now, std::int64_t unix_ms);
    std::optional<Answer> last_resort(const Call& call, std::size_t class_index, Time now,
                                      std::int64_t unix_ms);
    void keep(const OpenCall& open, const AttemptEnd& end, Time now, std::int64_t unix_ms);
    void purge(const PurgeNotice& purge);

private:
    // Absent: a call that no copy may answer.
    std::optional<copies::Wanted> wanted(const Call& call, std::size_t class_index) const;
    std::optional<Answer> answer_of(std::optional<copies::Served> served);

    const routing::Settings& settings_;
    const Span longest_call_;
    const Purges& purges_;
    Counters& counters_;
    std::optional<copies::Copies> copies_;  // absent: none are kept
};

}  // namespace silverrail::core

#include "cache/purge_coverage.h"

#include <algorithm>

namespace silverrail::cache {

namespace {
// Of the servers' clearing, beyond what the settings promise.
constexpr Span kClearingMargin = std::chrono::milliseconds{100};
constexpr std::size_t kMaxGaps = 16;
}  // namespace

PurgeCoverage::PurgeCoverage(Span effective_within, Span cleared_within)
    : must_take_effect_after_(kToldWithin + effective_within),
      cleared_within_(cleared_within + kClearingMargin) {}

void PurgeCoverage::set_live(Time opened) {
    live_ = true;
    add({complete_until_.value_or(Time::min()), opened});
}

void PurgeCoverage::set_interrupted(Time last_line) {
    if (live_)
        complete_until_ = last_line;
    live_ = false;
}

void PurgeCoverage::set_overdue(Time now) {
    add({Time::min(), now});
}

// Beyond the limit the two oldest gaps are taken for one.
void PurgeCoverage::add(Gap gap) {
    std::erase_if(gaps_,
                  [&](const Gap& earlier) { return gap.begin <= earlier.begin && earlier.end <= gap.end; });
    gaps_.push_back(gap);
    if (gaps_.size() <= kMaxGaps)
        return;
    gaps_[1].begin = std::min(gaps_[0].begin, gaps_[1].begin);
    gaps_.erase(gaps_.begin());
}

bool PurgeCoverage::must_have_taken_effect(const Gap& gap, Time now) const {
    return gap.begin == Time::min() || now >= gap.begin + must_take_effect_after_;
}

bool PurgeCoverage::may_use(Time requested, Time now) const {
    return live_ && std::ranges::none_of(gaps_, [&](const Gap& gap) {
               return requested < gap.end + cleared_within_ && must_have_taken_effect(gap, now);
           });
}

}  // namespace silverrail::cache

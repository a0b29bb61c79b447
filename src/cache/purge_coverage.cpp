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
    overdue_until_ = now;
}

void PurgeCoverage::confirm(Time until) {
    if (until <= confirmed_until_)
        return;
    confirmed_until_ = until;
    std::erase_if(gaps_, [&](const Gap& gap) { return gap.end <= until; });
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

// Purges issued since the last proof may be missing although the stream is live.
bool PurgeCoverage::may_predate_unconfirmed_purge(Time requested, Time now,
                                                  std::optional<Time> generated) const {
    const Time took_effect_until = now - must_take_effect_after_;
    if (took_effect_until < confirmed_until_ || took_effect_until < generated)
        return false;
    return requested < took_effect_until + cleared_within_;
}

bool PurgeCoverage::may_use(Time requested, Time now, std::optional<Time> generated) const {
    if (!live_ || may_predate_unconfirmed_purge(requested, now, generated))
        return false;
    if (overdue_until_ && requested < *overdue_until_ + cleared_within_)
        return false;
    return std::ranges::none_of(gaps_, [&](const Gap& gap) {
        const bool took_effect = gap.begin == Time::min() || now >= gap.begin + must_take_effect_after_;
        return took_effect && requested < gap.end + cleared_within_;
    });
}

}  // namespace silverrail::cache

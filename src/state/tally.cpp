#include "state/tally.h"

#include "state/words.h"

namespace silverrail::state {

Times::Times()
    : histogram_(boost::histogram::make_histogram_with(std::vector<std::uint64_t>{}, Axis{1240, 1e4, 1e12})) {
}

void Times::add(std::int64_t ns) {
    const auto value = static_cast<double>(std::max<std::int64_t>(0, ns));
    histogram_(std::max(value, 1e4));
    ++count_;
    sum_ += value;
    max_ = std::max(max_, value);
}

double Times::quantile(double share) const {
    if (count_ == 0)
        return 0;
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        seen += *bin;
        if (seen >= std::max<std::uint64_t>(1, wanted))
            return std::min(bin.bin().upper(), max_) / 1e6;
    }
    return max_ / 1e6;
}

std::string_view reason(const Story& s) {
    if (s.turned_away())
        return "at the door";
    const AttemptStory* last = nullptr;
    for (const AttemptStory& a : s.attempts)
        if (a.ended_at != kNoTime && (!last || a.ended_at >= last->ended_at))
            last = &a;
    if (!last)
        return s.timed_out ? "deadline, no attempt ended" : "no attempt";
    return word(kEndingWords, last->attempt_status);
}

void Tally::take(const Story& s, const std::string& class_name) {
    auto at = classes_.find(class_name);
    if (at == classes_.end())
        at = classes_.try_emplace(classes_.size() < kMostClasses ? class_name : "(others)").first;
    ClassTally& c = at->second;
    const auto bump = [](auto& counts, std::string_view key) {
        auto found = counts.find(key);
        if (found == counts.end())
            found = counts.try_emplace(counts.size() < kMostSources ? std::string{key} : "(others)").first;
        ++found->second;
    };
    if (!s.before && s.taken_at != kNoTime)
        ++c.calls;
    for (const AttemptStory& a : s.attempts) {
        if (a.ended_at == kNoTime)
            continue;
        if (a.attempt_status < c.endings.size())
            ++c.endings[a.attempt_status];
        if (a.cache_status < c.notes.size())
            ++c.notes[a.cache_status];
        const auto cache_status = word(kNoteWords, a.cache_status);
        if (word(kEndingWords, a.attempt_status) == "good" &&
            (cache_status == "filled" || cache_status == "filled_by_origin") && !a.source.empty())
            bump(c.fills, a.source.text());
    }
    ++c.attempts[std::min<std::size_t>(s.attempts.size(), c.attempts.size() - 1)];
    if (s.turned_away())
        ++c.outcomes[7];
    if (s.closed_at == kNoTime) {
        ++c.outcomes[6];
        return;
    }
    if (s.abandoned) {
        ++c.outcomes[5];
        return;
    }
    if (s.kind < 5)
        ++c.outcomes[s.kind];
    const std::int64_t took = s.took();
    if (s.kind <= 1) {
        c.bytes += s.bytes;
        if (took != kNoTime) {
            c.served.add(took);
            const std::int64_t latency_objective = aim_(s.source, s.taken.class_index, s.taken.size_kb);
            if (latency_objective > 0 && took > latency_objective)
                ++c.late;
        }
    } else if (s.kind >= 3) {
        if (took != kNoTime)
            c.turned_down.add(took);
        bump(c.refusals, reason(s));
        if (s.hold_off > 0) {
            ++c.hold_offs;
            const double ms = static_cast<double>(s.hold_off) / 1e6;
            c.hold_off_sum_ms += ms;
            c.hold_off_most_ms = std::max(c.hold_off_most_ms, ms);
        }
    }
}

}  // namespace silverrail::state

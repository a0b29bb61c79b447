#include "core/unix_time.h"

#include <algorithm>
#include <cstdlib>

namespace silverrail::core {

namespace {

// A greater change between two readings is a step. Less is slewing, or the distance of the two readings.
constexpr std::int64_t kMinStepMs = 50;
// How old a timestamp usually is that proves a clock to be behind: it was on its way, or stored.
constexpr std::int64_t kStampDelayMs = 1'000;
// Clocks are stepped by an hour at most; a timestamp that is further ahead is damaged.
constexpr std::int64_t kMaxStepMs = std::int64_t{2} * 3'600'000;

std::int64_t milliseconds_of(Time now) {
    return now.time_since_epoch() / std::chrono::milliseconds{1};
}

// By an offset of Unix time from monotonic time; never negative.
Span age(Time now, std::int64_t stamp_ms, std::int64_t offset_ms) {
    return std::chrono::milliseconds{std::max<std::int64_t>(0, offset_ms + milliseconds_of(now) - stamp_ms)};
}

}  // namespace

void UnixTime::read(Time now, std::int64_t unix_ms) {
    const std::int64_t offset = unix_ms - milliseconds_of(now);
    if (!offsets_) {
        offsets_ = Offsets{.last = offset, .earliest = offset, .shown = offset, .latest = offset};
        return;
    }
    const std::int64_t change = offset - offsets_->last;
    offsets_->last = offset;
    if (std::abs(change) <= kMinStepMs) {
        // Slewed: what may be right moves with it.
        offsets_->earliest += change;
        offsets_->shown += change;
        offsets_->latest += change;
        return;
    }
    ++steps_;
    offsets_->earliest = std::min(offsets_->earliest, offset);
    offsets_->shown = std::max(offsets_->shown, offset);
    offsets_->latest = std::max(offsets_->latest, offset);
}

void UnixTime::observe_stamp(Time now, std::int64_t stamp_ms, Source source) {
    if (!offsets_)
        return;
    const std::int64_t at_least = stamp_ms - milliseconds_of(now);
    if (source == Source::trusted)
        offsets_->shown = std::max(offsets_->shown, at_least);
    const std::int64_t believed = std::min(at_least, offsets_->shown);
    offsets_->earliest = std::max(offsets_->earliest, believed);
    offsets_->proven = std::max(offsets_->proven.value_or(believed), believed);
    if (at_least < offsets_->shown + kMaxStepMs)
        offsets_->latest = std::max(offsets_->latest, at_least);
    offsets_->latest = std::max(offsets_->latest, offsets_->shown);
}

Span UnixTime::min_age(Time now, std::int64_t stamp_ms) const {
    return offsets_ ? age(now, stamp_ms, offsets_->earliest) : Span{};
}

Span UnixTime::proven_age(Time now, std::int64_t stamp_ms) const {
    return offsets_ && offsets_->proven ? age(now, stamp_ms, *offsets_->proven) : Span{};
}

std::int64_t UnixTime::latest_ms(Time now) const {
    if (!offsets_)
        return 0;
    const bool proven_behind = offsets_->latest > offsets_->shown + kMinStepMs;
    return offsets_->latest + milliseconds_of(now) + (proven_behind ? kStampDelayMs : 0);
}

}  // namespace silverrail::core

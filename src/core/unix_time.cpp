#include "core/unix_time.h"

#include <algorithm>
#include <cstdlib>

namespace silverrail::core {

namespace {

// A larger change of the offset between two readings is a step. Smaller ones are due to slewing, or to the
// time between the readings of the two clocks.
constexpr std::int64_t kMinStepMs = 50;
// Typical age of a timestamp that proves a clock to be behind, due to transit or storage.
constexpr std::int64_t kTimestampDelayMs = 1'000;
// Clocks step by an hour at most, so a timestamp that is further ahead is corrupt.
constexpr std::int64_t kMaxStepMs = std::int64_t{2} * 3'600'000;

std::int64_t milliseconds_of(Time now) {
    return now.time_since_epoch() / std::chrono::milliseconds{1};
}

// `offset_ms`: Unix time minus monotonic time. Never negative.
Span age(Time now, std::int64_t timestamp_ms, std::int64_t offset_ms) {
    return std::chrono::milliseconds{
        std::max<std::int64_t>(0, offset_ms + milliseconds_of(now) - timestamp_ms)};
}

}  // namespace

void UnixTime::read(Time now, std::int64_t unix_ms) {
    const std::int64_t offset = unix_ms - milliseconds_of(now);
    if (!offsets_) {
        offsets_ = Offsets{.last = offset, .earliest = offset, .trusted = offset, .latest = offset};
        return;
    }
    const std::int64_t change = offset - offsets_->last;
    offsets_->last = offset;
    if (std::abs(change) <= kMinStepMs) {
        // The clock is slewed: the bounds move with it.
        offsets_->earliest += change;
        offsets_->trusted += change;
        offsets_->latest += change;
        return;
    }
    ++steps_;
    offsets_->earliest = std::min(offsets_->earliest, offset);
    offsets_->trusted = std::max(offsets_->trusted, offset);
    offsets_->latest = std::max(offsets_->latest, offset);
}

void UnixTime::observe_timestamp(Time now, std::int64_t timestamp_ms, Trust trust) {
    if (!offsets_)
        return;
    const std::int64_t min_offset = timestamp_ms - milliseconds_of(now);
    if (trust == Trust::trusted)
        offsets_->trusted = std::max(offsets_->trusted, min_offset);
    const std::int64_t accepted = std::min(min_offset, offsets_->trusted);
    offsets_->earliest = std::max(offsets_->earliest, accepted);
    offsets_->proven = std::max(offsets_->proven.value_or(accepted), accepted);
    if (min_offset < offsets_->trusted + kMaxStepMs)
        offsets_->latest = std::max(offsets_->latest, min_offset);
    offsets_->latest = std::max(offsets_->latest, offsets_->trusted);
}

Span UnixTime::min_age(Time now, std::int64_t timestamp_ms) const {
    return offsets_ ? age(now, timestamp_ms, offsets_->earliest) : Span{};
}

Span UnixTime::proven_age(Time now, std::int64_t timestamp_ms) const {
    return offsets_ && offsets_->proven ? age(now, timestamp_ms, *offsets_->proven) : Span{};
}

std::optional<Span> UnixTime::max_age(Time now, std::int64_t timestamp_ms) const {
    if (!offsets_)
        return std::nullopt;
    return std::chrono::milliseconds{std::max<std::int64_t>(0, latest_ms(now) - timestamp_ms)};
}

std::int64_t UnixTime::latest_ms(Time now) const {
    if (!offsets_)
        return 0;
    const bool proven_behind = offsets_->latest > offsets_->trusted + kMinStepMs;
    return offsets_->latest + milliseconds_of(now) + (proven_behind ? kTimestampDelayMs : 0);
}

}  // namespace silverrail::core

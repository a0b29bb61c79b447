#include "trace/model/request_summary.h"

#include <algorithm>

#include "silverrail/routing/router.h"

namespace silverrail::trace::model {

namespace {

constexpr const char* kOthers = "(others)";
constexpr std::size_t kMaxNames = 4096;  // further ones are counted as kOthers

void increment(CountsByName& counts, std::string_view name) {
    auto found = counts.find(name);
    if (found == counts.end())
        found = counts.try_emplace(counts.size() < kMaxNames ? std::string{name} : kOthers).first;
    ++found->second;
}

bool is_successful_fill(const AttemptTimeline& attempt) {
    using routing::AttemptStatus;
    using routing::CacheStatus;
    return attempt.attempt_status == static_cast<std::uint8_t>(AttemptStatus::success) &&
           (attempt.cache_status == static_cast<std::uint8_t>(CacheStatus::filled) ||
            attempt.cache_status == static_cast<std::uint8_t>(CacheStatus::filled_from_origin)) &&
           !attempt.fill_source.empty();
}

void add_attempts(ClassSummary& summary, const RequestTimeline& timeline) {
    for (const AttemptTimeline& attempt : timeline.attempts) {
        if (!attempt.ended())
            continue;
        if (attempt.attempt_status < summary.attempt_statuses.size())
            ++summary.attempt_statuses[attempt.attempt_status];
        if (attempt.cache_status < summary.cache_statuses.size())
            ++summary.cache_statuses[attempt.cache_status];
        if (is_successful_fill(attempt))
            increment(summary.fills, attempt.fill_source.text());
    }
    ++summary.attempts[std::min<std::size_t>(timeline.attempts.size(), summary.attempts.size() - 1)];
}

void add_outcomes(ClassSummary& summary, const RequestTimeline& timeline) {
    const auto increment_outcome = [&summary](Outcome outcome) {
        ++summary.outcomes[static_cast<std::size_t>(outcome)];
    };
    if (timeline.not_admitted())
        increment_outcome(Outcome::not_admitted);
    if (!timeline.closed())
        increment_outcome(Outcome::open);
    else if (timeline.client_closed)
        increment_outcome(Outcome::client_closed);
    else if (timeline.response_kind < kResponseKindNames.size())
        ++summary.outcomes[timeline.response_kind];
}

void add_error(ClassSummary& summary, const RequestTimeline& timeline) {
    if (const std::int64_t duration = timeline.duration(); duration != kNoTime)
        summary.error_latency.add(duration);
    increment(summary.error_reasons, error_reason(timeline));
    if (timeline.retry_after > 0)
        summary.retry_after.add(timeline.retry_after);
}

}  // namespace

void RetryAfterSummary::add(std::int64_t retry_after_ns) {
    const double ms = static_cast<double>(retry_after_ns) / 1e6;
    ++count;
    sum_ms += ms;
    max_ms = std::max(max_ms, ms);
}

std::string_view error_reason(const RequestTimeline& timeline) {
    if (timeline.not_admitted())
        return "at the door";
    const AttemptTimeline* last = nullptr;
    for (const AttemptTimeline& attempt : timeline.attempts)
        if (attempt.ended() && (!last || attempt.ended_at >= last->ended_at))
            last = &attempt;
    if (!last)
        return timeline.timed_out ? "deadline, no attempt ended" : "no attempt";
    return enum_name(kAttemptStatusNames, last->attempt_status);
}

ClassSummary& RequestSummary::find_or_add(const std::string& class_name) {
    if (const auto found = classes_.find(class_name); found != classes_.end())
        return found->second;
    return classes_[classes_.size() < kMaxClasses ? class_name : kOthers];
}

void RequestSummary::add_success(ClassSummary& summary, const RequestTimeline& timeline) const {
    summary.bytes += timeline.response_bytes;
    const std::int64_t duration = timeline.duration();
    if (duration == kNoTime)
        return;
    summary.success_latency.add(duration);
    const std::int64_t objective =
        latency_objective_(timeline.router_index, timeline.received.class_index, timeline.received.size_kb);
    if (objective > 0 && duration > objective)
        ++summary.late;
}

void RequestSummary::add(const RequestTimeline& timeline, const std::string& class_name) {
    ClassSummary& summary = find_or_add(class_name);
    if (!timeline.open_at_start && timeline.received_seen())
        ++summary.received;
    add_attempts(summary, timeline);
    add_outcomes(summary, timeline);
    if (!timeline.answered())
        return;
    if (timeline.response_kind <= static_cast<std::uint8_t>(Outcome::not_modified))
        add_success(summary, timeline);
    else if (timeline.response_kind >= static_cast<std::uint8_t>(Outcome::rejected))
        add_error(summary, timeline);
}

}  // namespace silverrail::trace::model

#include "routing/retry_policy.h"

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kNetworkDelay = 20ms;  // of a request sent at the end of the retry window

}  // namespace

bool RetryPolicy::may_send(const OpenRequest& open, const ServerState& target, Time now) const {
    if (!has_attempts_left(open))
        return false;
    const ClassSettings& request_class = class_of(open);
    for (const Attempt& earlier : open.attempts) {
        if (earlier.in_flight)
            return false;  // a cancelled attempt must end first
        if (!earlier.may_have_run || request_class.idempotency == Idempotency::idempotent)
            continue;
        if (request_class.idempotency == Idempotency::none)
            return false;
        if (!shares_keys(request_class.key_scope, earlier, target))
            return false;
    }
    const auto window_end = retry_window_end(open);
    return !window_end || now < *window_end;
}

std::optional<Time> RetryPolicy::retry_window_end(const OpenRequest& open) const {
    const auto first_run = std::ranges::find_if(open.attempts, &Attempt::may_have_run);
    if (first_run == open.attempts.end() || class_of(open).idempotency != Idempotency::keyed)
        return std::nullopt;
    return first_run->sent_at + class_of(open).retry_window - kNetworkDelay;
}

// True if `target` recognises the keys of requests that ran at the earlier target, which stood where it did
// then: its id may be that of a process elsewhere by now.
bool RetryPolicy::shares_keys(KeyScope scope, const Attempt& earlier, const ServerState& target) const {
    if (scope == KeyScope::all)
        return true;
    if (earlier.target == target.id && earlier.target_process == target.process)
        return true;
    if (!servers_.find(earlier.target))
        return false;
    return scope == KeyScope::zone ? earlier.target_zone == target.zone : earlier.target_cell == target.cell;
}

bool RetryPolicy::may_reject(const OpenRequest& open) const {
    const ClassSettings& request_class = class_of(open);
    if (request_class.idempotency == Idempotency::idempotent)
        return true;
    if (request_class.idempotency == Idempotency::keyed && request_class.key_scope == KeyScope::all)
        return true;
    return std::ranges::none_of(
        open.attempts, [](const Attempt& attempt) { return attempt.in_flight || attempt.may_have_run; });
}

}  // namespace silverrail::routing

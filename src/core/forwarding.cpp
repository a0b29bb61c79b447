#include "core/forwarding.h"

#include <utility>

namespace silverrail::core {

namespace {
// The usual reason is a recent purge, whose limit on a copy's age expires within seconds.
constexpr Span kNotRedirectableRetryAfter = std::chrono::milliseconds{1000};
// An attempt sent within this time of its request's arrival runs in the same iteration of the event loop.
constexpr Span kSameIteration = std::chrono::milliseconds{2};
constexpr std::size_t kMaxCountedZones = 64;
}  // namespace

Forwarding::Forwarding(EngineState& state, ResponseCacheStage& cache, Completion& completion,
                       RoutingStage& routing)
    : state_(state),
      cache_(cache),
      completion_(completion),
      routing_(routing),
      builder_(state.servers, state.purges, state.unix_time),
      accounting_(state.counters) {}

void Forwarding::start(const routing::Send& send_action) {
    ActiveRequest* request = state_.find(send_action.request);
    if (!request)
        return;
    const Time now = state_.clock.now();
    const auto number = static_cast<std::uint32_t>(request->attempts.size());
    const AttemptKey key{send_action.request, number};
    request->attempts.push_back({.started = now});
    auto attempt = builder_.build(send_action, *request, number, now);
    if (!attempt || request->answered() || now >= attempt->deadline)
        return end_unsent(key);
    // Guards rule 2 (no repeated effect) and the limit on attempts, independently of the decision.
    if (!state_.guard.start_attempt(key)) {
        state_.log.line("guard-violation", "%s", state_.guard.last_violation().c_str());
        return end_unsent(key);
    }
    if (number > 0)
        state_.log_request("retry", *request);
    if (request->client_request->redirected)
        redirect(*request, *attempt);
    else
        send(*request, std::move(*attempt));
}

void Forwarding::end_unsent(const AttemptKey& key) {
    ended(key, {.attempt_status = AttemptStatus::not_sent});
}

// The client connects to the server itself, so the outcome is not observed and is reported as such.
void Forwarding::redirect(ActiveRequest& request, const AttemptRequest& attempt) {
    const AttemptKey key = attempt.key;
    const auto address = builder_.redirect_address(attempt, state_.settings.parent_kind, state_.clock.now());
    if (address) {
        completion_.complete(request, redirected(*address));
    } else {
        ++state_.counters.not_carried;
        completion_.complete(request, rejected(kNotRedirectableRetryAfter, false));
    }
    ended(key, {.attempt_status = AttemptStatus::unobserved});
}

void Forwarding::send(ActiveRequest& request, AttemptRequest attempt) {
    ++state_.counters.sent;
    count_remote_zone(attempt);
    ActiveAttempt& active = request.attempts.back();
    active.timeout_timer = state_.timers.at(attempt.deadline, [this, key = attempt.key] { timed_out(key); });
    active.request = attempt;
    state_.sender.start(std::move(attempt), *this);
}

void Forwarding::count_remote_zone(const AttemptRequest& attempt) {
    const Server* target = state_.servers.find(attempt.target);
    if (!target || !state_.servers.is_cache_server(*target))
        return;
    const std::string& zone = target->entry.zone;
    if (zone == state_.servers.zone())
        return;
    if (attempts_by_remote_zone_.size() < kMaxCountedZones || attempts_by_remote_zone_.contains(zone))
        ++attempts_by_remote_zone_[zone];
}

void Forwarding::cancel(const AttemptKey& key) {
    const ActiveAttempt* attempt = state_.find(key);
    if (!attempt || !attempt->in_flight)
        return;
    ++state_.counters.cancelled;
    state_.sender.cancel(key);
    ended(key, {.attempt_status = AttemptStatus::cancelled});
}

void Forwarding::cancel_attempts(RequestId id) {
    // Each cancellation may start another attempt, or complete the request.
    for (std::uint32_t number = 0; state_.find(AttemptKey{id, number}); ++number)
        cancel({id, number});
}

std::optional<Span> Forwarding::before_first_byte(const AttemptKey& key) {
    ActiveRequest* request = state_.find(key.request);
    const ActiveAttempt* attempt = state_.find(key);
    if (!attempt || !attempt->in_flight || !attempt->request || request->answered())
        return std::nullopt;
    const Time now = state_.clock.now();
    const auto reason =
        state_.guard.check_first_byte(key, first_byte_conditions(*request, *attempt->request, now));
    std::optional<Span> max_age;
    bool tightened = false;
    if (reason) {
        ++state_.counters.held_at_first_byte;
        log_suppression(*request, *attempt->request, *reason);
    } else {
        const auto copy_age = builder_.copy_age_at_first_byte(
            *attempt->request, state_.settings.classes[request->class_index].max_age, now);
        max_age = copy_age.max_age;
        tightened = copy_age.tightened;
    }
    if (tightened)
        ++state_.counters.tightened;
    if (state_.observer)
        state_.observer->first_byte(key, max_age, tightened, now);
    return max_age;
}

Guard::FirstByteConditions Forwarding::first_byte_conditions(ActiveRequest& request,
                                                             const AttemptRequest& attempt, Time now) {
    Guard::FirstByteConditions conditions;
    conditions.now = now;
    conditions.deadline = attempt.deadline;
    // Guards rule 2 (no repeated effect): the retry window may have ended while waiting for a connection.
    conditions.retry_window_end = attempt.retry_window_end;
    // The event loop may notice a close only in its next iteration. There is no need to ask the operating
    // system in the iteration that read the request.
    conditions.client_closed = now > request.received + kSameIteration && request.sink->client_closed();
    // Guards rule 3 (drains): a server may have begun to drain while the attempt waited for its connection.
    // Another process may have taken its place, at the same address or another one.
    conditions.target_usable = state_.servers.is_usable(attempt.target, attempt.target_process);
    conditions.source_usable =
        !attempt.source || state_.servers.is_usable(*attempt.source, attempt.source_process);
    if (state_.is_tracked(request.client_request->trace_id, request.class_index))
        conditions.record_run = [this, &request] {
            return record_run(request);
        };
    return conditions;
}

// Guards rule 2 (no repeated effect): the id may have come before, here or at the other process of an
// upgrade.
bool Forwarding::record_run(ActiveRequest& request) {
    if (request.run_recorded)
        return true;
    request.run_recorded = state_.executed_requests->record(request.client_request->trace_id);
    request.has_run_before = !request.run_recorded;
    return request.run_recorded;
}

void Forwarding::log_suppression(const ActiveRequest& request, const AttemptRequest& attempt,
                                 SuppressionReason reason) const {
    state_.log.line("attempt-suppressed", "%s attempt %u to %s: %s", request.client_request->trace_id.c_str(),
                    attempt.key.attempt, attempt.target.address.c_str(),
                    std::string{name_of(reason)}.c_str());
}

void Forwarding::ended(const AttemptKey& key, AttemptResult result) {
    ActiveAttempt* attempt = state_.find(key);
    if (!attempt || !attempt->in_flight)
        return;
    ActiveRequest& request = *state_.find(key.request);
    attempt->in_flight = false;
    attempt->request.reset();
    request.last_attempt_status = result.attempt_status;
    state_.guard.attempt_ended(key, result.attempt_status);
    if (attempt->timeout_timer)
        state_.timers.cancel(std::exchange(attempt->timeout_timer, 0));
    const bool success = result.attempt_status == AttemptStatus::success;
    const Time now = state_.clock.now();
    (void)state_.read_unix_time(now);
    if (result.generated_ms > 0)
        state_.unix_time.observe_timestamp(now, result.generated_ms, UnixTime::Trust::untrusted);
    cache_.store(request, result, now, state_.unix_time.latest_ms(now));
    const auto outcome = accounting_.record(key, result, *attempt, success || request.answered(), now);
    if (success)
        completion_.complete(request, served(std::move(result)));
    routing_.notify(outcome);
}

void Forwarding::timed_out(const AttemptKey& key) {
    ActiveAttempt* attempt = state_.find(key);
    if (!attempt)
        return;
    attempt->timeout_timer = 0;
    if (!attempt->in_flight)
        return;
    state_.sender.cancel(key);
    ended(key, {.attempt_status = AttemptStatus::timeout});
}

}  // namespace silverrail::core

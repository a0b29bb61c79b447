#include "core/guard.h"

#include <algorithm>
#include <numeric>

namespace silverrail::core {

namespace {

constexpr std::size_t kStates = static_cast<std::size_t>(RequestState::count_);

// Names in log lines and counters.
constexpr std::array<std::string_view, kStates> kStateNames{"taken", "deciding", "ordered",
                                                            "sent",  "answered", "left"};
constexpr std::array<std::string_view, kSuppressionReasons> kSuppressionNames{
    "client_left",    "answered",       "past_deadline", "past_window",
    "target_drained", "source_drained", "may_run_twice", "another_out"};
constexpr std::array<std::string_view, kViolations> kViolationNames{
    "start_after_end", "start_beside", "start_past_limit", "repeat", "transition", "unknown_call"};

// Row: from; column: to, in the order of RequestState. An attempt that ends after the response does not
// change the state.
constexpr bool kMayFollow[kStates][kStates] = {
    // received between connecting sent answered closed
    {false, false, true, false, true, true},    // received
    {false, false, true, false, true, true},    // between_attempts
    {false, true, false, true, true, true},     // connecting
    {false, true, false, false, true, true},    // sent
    {false, false, false, false, false, true},  // answered: the client may close before it is written
    {false, false, false, false, false, false}  // client_closed
};

// Whether the status proves that the server never ran the attempt.
bool proves_not_run(AttemptStatus status) {
    return status == AttemptStatus::overloaded || status == AttemptStatus::miss ||
           status == AttemptStatus::not_sent || status == AttemptStatus::connect_failed;
}

}  // namespace

std::string_view name_of(RequestState state) {
    return kStateNames[static_cast<std::size_t>(state)];
}

std::string_view name_of(SuppressionReason reason) {
    return kSuppressionNames[static_cast<std::size_t>(reason)];
}

std::string_view name_of(Violation violation) {
    return kViolationNames[static_cast<std::size_t>(violation)];
}

bool may_follow(RequestState from, RequestState to) {
    return kMayFollow[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

void Guard::received(RequestId id, std::size_t class_index) {
    requests_[id] = Request{.state = RequestState::received, .class_index = class_index, .attempts = {}};
}

Guard::Request* Guard::find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

std::optional<RequestState> Guard::state(RequestId id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? std::nullopt : std::optional{found->second.state};
}

bool Guard::is_finished(const Request& request) {
    return request.state == RequestState::answered || request.state == RequestState::client_closed;
}

// Whether the class is not idempotent and an attempt other than `attempt` may have run.
bool Guard::could_run_twice(const Request& request, std::optional<std::uint32_t> attempt) const {
    if (settings_.classes[request.class_index].idempotency != routing::Idempotency::none)
        return false;
    return std::ranges::any_of(request.attempts, [attempt](const auto& entry) {
        return entry.first != attempt && entry.second.may_have_run;
    });
}

std::optional<Violation> Guard::start_violation(const Request& request) const {
    if (is_finished(request))
        return Violation::start_after_end;
    const bool another_in_flight =
        std::ranges::any_of(request.attempts, [](const auto& entry) { return entry.second.in_flight; });
    if (another_in_flight)
        return Violation::concurrent_start;
    if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts)
        return Violation::start_past_limit;
    if (could_run_twice(request, std::nullopt))
        return Violation::unsafe_repeat;
    return std::nullopt;
}

bool Guard::start_attempt(const AttemptKey& key) {
    Request* request = find(key.request);
    const auto violation = request ? start_violation(*request) : std::optional{Violation::unknown_request};
    if (violation) {
        count(*violation, key.request, request);
        return false;
    }
    request->attempts.emplace(key.attempt, Attempt{});
    transition(key.request, *request, RequestState::connecting);
    return true;
}

std::optional<SuppressionReason> Guard::suppression_reason(const Request& request, std::uint32_t attempt,
                                                           const FirstByteConditions& conditions) const {
    if (request.state == RequestState::client_closed || conditions.client_closed)
        return SuppressionReason::client_closed;
    if (request.state == RequestState::answered)
        return SuppressionReason::answered;
    if (conditions.now >= conditions.deadline)
        return SuppressionReason::past_deadline;
    if (conditions.retry_window_end && conditions.now >= *conditions.retry_window_end)
        return SuppressionReason::past_key_window;
    if (!conditions.target_usable)
        return SuppressionReason::target_drained;
    if (!conditions.source_usable)
        return SuppressionReason::source_drained;
    if (could_run_twice(request, attempt))
        return SuppressionReason::may_run_twice;
    const bool another_in_flight = std::ranges::any_of(request.attempts, [attempt](const auto& entry) {
        return entry.first != attempt && entry.second.in_flight && entry.second.sent;
    });
    if (another_in_flight)
        return SuppressionReason::another_in_flight;
    if (conditions.record_run && !conditions.record_run())
        return SuppressionReason::may_run_twice;
    return std::nullopt;
}

bool Guard::may_have_run(RequestId id) const {
    const auto found = requests_.find(id);
    return found != requests_.end() && std::ranges::any_of(found->second.attempts, [](const auto& entry) {
               return entry.second.may_have_run;
           });
}

std::optional<SuppressionReason> Guard::check_first_byte(const AttemptKey& key,
                                                         const FirstByteConditions& conditions) {
    Request* request = find(key.request);
    const auto attempt = request ? request->attempts.find(key.attempt) : Attempts::iterator{};
    const bool recorded = request && attempt != request->attempts.end() && attempt->second.in_flight;
    const auto reason = recorded ? suppression_reason(*request, key.attempt, conditions)
                                 : std::optional{SuppressionReason::answered};
    if (reason) {
        ++suppressed_[static_cast<std::size_t>(*reason)];
        return reason;
    }
    attempt->second.sent = true;
    attempt->second.may_have_run = true;
    transition(key.request, *request, RequestState::sent);
    return std::nullopt;
}

void Guard::attempt_ended(const AttemptKey& key, AttemptStatus attempt_status) {
    Request* request = find(key.request);
    if (!request)
        return count(Violation::unknown_request, key.request, nullptr);
    const auto attempt = request->attempts.find(key.attempt);
    if (attempt == request->attempts.end() || !attempt->second.in_flight)
        return;
    attempt->second.in_flight = false;
    if (proves_not_run(attempt_status))
        attempt->second.may_have_run = false;
    if (!is_finished(*request))
        transition(key.request, *request, RequestState::between_attempts);
}

void Guard::transition(RequestId id, RequestState to) {
    if (Request* request = find(id))
        transition(id, *request, to);
}

void Guard::transition(RequestId id, Request& request, RequestState to) {
    if (!may_follow(request.state, to))
        count(Violation::invalid_transition, id, &request);
    request.state = to;
}

std::uint64_t Guard::violations() const {
    return std::accumulate(violations_.begin(), violations_.end(), std::uint64_t{0});
}

void Guard::count(Violation violation, RequestId id, const Request* request) {
    ++violations_[static_cast<std::size_t>(violation)];
    last_violation_ = std::string{name_of(violation)} + ", request " +
                      std::to_string(static_cast<std::uint64_t>(id)) + ", state " +
                      std::string{request ? name_of(request->state) : "none"} + ", attempts " +
                      std::to_string(request ? request->attempts.size() : 0);
}

}  // namespace silverrail::core

// The guard: permitted state transitions, reasons for suppression, and violations.
#include "core/guard.h"

#include "../silverrail/check.h"

using namespace silverrail::core;
using namespace std::chrono_literals;

namespace {

constexpr RequestId kRequest{7};
constexpr std::size_t kIdempotentClass = 0, kUnsafeClass = 1;

silverrail::routing::Settings settings() {
    silverrail::routing::Settings s;
    s.max_attempts = 3;
    s.classes.push_back({.name = "pages", .idempotency = silverrail::routing::Idempotency::idempotent});
    s.classes.push_back({.name = "lodge", .idempotency = silverrail::routing::Idempotency::none});
    return s;
}

const silverrail::routing::Settings kSettings = settings();

AttemptKey attempt(std::uint32_t number) {
    return {kRequest, number};
}

Guard::FirstByteConditions conditions() {
    Guard::FirstByteConditions f;
    f.now = Time{10s};
    f.deadline = Time{11s};
    return f;
}

Guard with_request(std::size_t class_index) {
    Guard guard{kSettings};
    guard.received(kRequest, class_index);
    return guard;
}

void a_request_passes_through_its_states() {
    Guard guard = with_request(kIdempotentClass);
    CHECK(guard.state(kRequest) == RequestState::received);
    CHECK(guard.start_attempt(attempt(0)) && guard.state(kRequest) == RequestState::connecting);
    CHECK(!guard.check_first_byte(attempt(0), conditions()) && guard.state(kRequest) == RequestState::sent);
    guard.attempt_ended(attempt(0), AttemptStatus::reset);
    CHECK(guard.state(kRequest) == RequestState::between_attempts);
    CHECK(guard.start_attempt(attempt(1)) && !guard.check_first_byte(attempt(1), conditions()));
    guard.attempt_ended(attempt(1), AttemptStatus::success);
    guard.answered(kRequest);
    CHECK(guard.state(kRequest) == RequestState::answered);
    guard.client_closed(kRequest);
    guard.forget(kRequest);
    CHECK(!guard.state(kRequest) && guard.violations() == 0);
}

void a_first_byte_is_suppressed_for_each_reason() {
    struct Case {
        SuppressionReason reason;
        void (*change)(Guard::FirstByteConditions&);
    };
    const Case cases[] = {
        {SuppressionReason::client_closed,
         [](Guard::FirstByteConditions& f) {
             f.client_closed = true;
         }},
        {SuppressionReason::past_deadline,
         [](Guard::FirstByteConditions& f) {
             f.now = f.deadline;
         }},
        {SuppressionReason::past_key_window,
         [](Guard::FirstByteConditions& f) {
             f.retry_window_end = f.now;
         }},
        {SuppressionReason::target_drained,
         [](Guard::FirstByteConditions& f) {
             f.target_usable = false;
         }},
        {SuppressionReason::source_drained,
         [](Guard::FirstByteConditions& f) {
             f.source_usable = false;
         }},
    };
    for (const Case& c : cases) {
        Guard guard = with_request(kIdempotentClass);
        CHECK(guard.start_attempt(attempt(0)));
        Guard::FirstByteConditions f = conditions();
        c.change(f);
        CHECK(guard.check_first_byte(attempt(0), f) == c.reason && guard.suppressed(c.reason) == 1);
        CHECK(guard.state(kRequest) == RequestState::connecting);
        // A suppressed attempt never ran, so another one may start.
        guard.attempt_ended(attempt(0), AttemptStatus::not_sent);
        CHECK(guard.start_attempt(attempt(1)) && !guard.check_first_byte(attempt(1), conditions()) &&
              guard.violations() == 0);
    }
    Guard guard = with_request(kIdempotentClass);
    CHECK(guard.start_attempt(attempt(0)));
    guard.answered(kRequest);
    CHECK(guard.check_first_byte(attempt(0), conditions()) == SuppressionReason::answered);
    CHECK(guard.check_first_byte(attempt(5), conditions()) ==
          SuppressionReason::answered);  // an unknown attempt
}

void a_decision_that_breaks_a_rule_is_rejected_and_counted() {
    for (const AttemptStatus attempt_status :
         {AttemptStatus::error, AttemptStatus::reset, AttemptStatus::timeout, AttemptStatus::cancelled}) {
        Guard guard = with_request(kUnsafeClass);
        CHECK(guard.start_attempt(attempt(0)) && !guard.check_first_byte(attempt(0), conditions()));
        guard.attempt_ended(attempt(0), attempt_status);
        CHECK(!guard.start_attempt(attempt(1)) && guard.violations(Violation::unsafe_repeat) == 1);
        CHECK(guard.last_violation().find("repeat") == 0);
    }
    // These statuses prove that the attempt never ran: overloaded, miss, connection failed or not sent.
    for (const AttemptStatus attempt_status : {AttemptStatus::overloaded, AttemptStatus::miss,
                                               AttemptStatus::connect_failed, AttemptStatus::not_sent}) {
        Guard guard = with_request(kUnsafeClass);
        CHECK(guard.start_attempt(attempt(0)));
        if (attempt_status == AttemptStatus::overloaded || attempt_status == AttemptStatus::miss)
            CHECK(!guard.check_first_byte(attempt(0), conditions()));
        guard.attempt_ended(attempt(0), attempt_status);
        CHECK(guard.start_attempt(attempt(1)) && guard.violations() == 0);
    }
    {
        Guard guard = with_request(kIdempotentClass);
        CHECK(guard.start_attempt(attempt(0)) && !guard.start_attempt(attempt(1)));
        CHECK(guard.violations(Violation::concurrent_start) == 1);
    }
    {
        Guard guard = with_request(kIdempotentClass);
        for (std::uint32_t i = 0; i < 3; ++i) {
            CHECK(guard.start_attempt(attempt(i)));
            guard.attempt_ended(attempt(i), AttemptStatus::connect_failed);
        }
        CHECK(!guard.start_attempt(attempt(3)) && guard.violations(Violation::start_past_limit) == 1);
    }
    for (const bool client_closed : {false, true}) {
        Guard guard = with_request(kIdempotentClass);
        if (client_closed)
            guard.client_closed(kRequest);
        else
            guard.answered(kRequest);
        CHECK(!guard.start_attempt(attempt(0)) && guard.violations(Violation::start_after_end) == 1);
    }
    {
        Guard guard{kSettings};
        CHECK(!guard.start_attempt(attempt(0)) && guard.violations(Violation::unknown_request) == 1);
    }
    {
        Guard guard = with_request(kIdempotentClass);
        guard.answered(kRequest);
        guard.answered(kRequest);
        CHECK(guard.violations(Violation::invalid_transition) == 1);
    }
}

void final_states_have_no_successor_and_received_has_no_predecessor() {
    for (std::size_t to = 0; to < static_cast<std::size_t>(RequestState::count_); ++to) {
        CHECK(!may_follow(RequestState::client_closed, static_cast<RequestState>(to)));
        CHECK(!may_follow(static_cast<RequestState>(to), RequestState::received));
    }
    CHECK(!may_follow(RequestState::received, RequestState::sent) &&
          !may_follow(RequestState::answered, RequestState::connecting));
}

}  // namespace

int main() {
    a_request_passes_through_its_states();
    a_first_byte_is_suppressed_for_each_reason();
    a_decision_that_breaks_a_rule_is_rejected_and_counted();
    final_states_have_no_successor_and_received_has_no_predecessor();
    std::puts("guard: all cases passed");
}

// The guard alone: which states may follow, what is held back and why, and what counts as a violation.
#include "core/guard.h"

#include "../silverrail/check.h"

using namespace silverrail::core;
using namespace std::chrono_literals;

namespace {

constexpr RequestId kCall{7};
constexpr std::size_t kPure = 0, kUnsafe = 1;

silverrail::routing::Settings settings() {
    silverrail::routing::Settings s;
    s.max_attempts = 3;
    s.classes.push_back({.name = "pages", .idempotency = silverrail::routing::Idempotency::idempotent});
    s.classes.push_back({.name = "lodge", .idempotency = silverrail::routing::Idempotency::none});
    return s;
}

const silverrail::routing::Settings kSettings = settings();

AttemptKey attempt(std::uint32_t number) {
    return {kCall, number};
}

Guard::Facts facts() {
    Guard::Facts f;
    f.now = Time{10s};
    f.give_up = Time{11s};
    return f;
}

Guard with_call(std::size_t class_index) {
    Guard guard{kSettings};
    guard.taken(kCall, class_index);
    return guard;
}

void usual_life() {
    Guard guard = with_call(kPure);
    CHECK(guard.state(kCall) == CallState::taken);
    CHECK(guard.start(attempt(0)) && guard.state(kCall) == CallState::ordered);
    CHECK(!guard.send(attempt(0), facts()) && guard.state(kCall) == CallState::sent);
    guard.ended(attempt(0), AttemptStatus::reset);
    CHECK(guard.state(kCall) == CallState::deciding);
    CHECK(guard.start(attempt(1)) && !guard.send(attempt(1), facts()));
    guard.ended(attempt(1), AttemptStatus::success);
    guard.answered(kCall);
    CHECK(guard.state(kCall) == CallState::answered);
    guard.left(kCall);
    guard.closed(kCall);
    CHECK(!guard.state(kCall) && guard.violations() == 0);
}

void held_back() {
    struct Case {
        Held reason;
        void (*change)(Guard::Facts&);
    };
    const Case cases[] = {
        {Held::client_left,
         [](Guard::Facts& f) {
             f.client_left = true;
         }},
        {Held::past_deadline,
         [](Guard::Facts& f) {
             f.now = f.give_up;
         }},
        {Held::past_window,
         [](Guard::Facts& f) {
             f.repeat_before = f.now;
         }},
        {Held::target_drained,
         [](Guard::Facts& f) {
             f.target_usable = false;
         }},
        {Held::source_drained,
         [](Guard::Facts& f) {
             f.source_usable = false;
         }},
    };
    for (const Case& c : cases) {
        Guard guard = with_call(kPure);
        CHECK(guard.start(attempt(0)));
        Guard::Facts f = facts();
        c.change(f);
        CHECK(guard.send(attempt(0), f) == c.reason && guard.held(c.reason) == 1);
        CHECK(guard.state(kCall) == CallState::ordered);
        // What was held back never ran: the next one may go.
        guard.ended(attempt(0), AttemptStatus::not_sent);
        CHECK(guard.start(attempt(1)) && !guard.send(attempt(1), facts()) && guard.violations() == 0);
    }
    Guard guard = with_call(kPure);
    CHECK(guard.start(attempt(0)));
    guard.answered(kCall);
    CHECK(guard.send(attempt(0), facts()) == Held::answered);
    CHECK(guard.send(attempt(5), facts()) == Held::answered);  // not on record
}

// Each decision that would break a rule is refused and counted by its rule.
void violations() {
    for (const AttemptStatus attempt_status :
         {AttemptStatus::error, AttemptStatus::reset, AttemptStatus::timeout, AttemptStatus::cancelled}) {
        Guard guard = with_call(kUnsafe);
        CHECK(guard.start(attempt(0)) && !guard.send(attempt(0), facts()));
        guard.ended(attempt(0), attempt_status);
        CHECK(!guard.start(attempt(1)) && guard.violations(Violation::repeat) == 1);
        CHECK(guard.last_violation().find("repeat") == 0);
    }
    // Proof that it never ran: full, missing, refused, or never sent at all.
    for (const AttemptStatus attempt_status : {AttemptStatus::overloaded, AttemptStatus::miss,
                                               AttemptStatus::connect_failed, AttemptStatus::not_sent}) {
        Guard guard = with_call(kUnsafe);
        CHECK(guard.start(attempt(0)));
        if (attempt_status == AttemptStatus::overloaded || attempt_status == AttemptStatus::miss)
            CHECK(!guard.send(attempt(0), facts()));
        guard.ended(attempt(0), attempt_status);
        CHECK(guard.start(attempt(1)) && guard.violations() == 0);
    }
    {
        Guard guard = with_call(kPure);
        CHECK(guard.start(attempt(0)) && !guard.start(attempt(1)));
        CHECK(guard.violations(Violation::start_beside) == 1);
    }
    {
        Guard guard = with_call(kPure);
        for (std::uint32_t i = 0; i < 3; ++i) {
            CHECK(guard.start(attempt(i)));
            guard.ended(attempt(i), AttemptStatus::connect_failed);
        }
        CHECK(!guard.start(attempt(3)) && guard.violations(Violation::start_past_limit) == 1);
    }
    for (const bool left : {false, true}) {
        Guard guard = with_call(kPure);
        if (left)
            guard.left(kCall);
        else
            guard.answered(kCall);
        CHECK(!guard.start(attempt(0)) && guard.violations(Violation::start_after_end) == 1);
    }
    {
        Guard guard{kSettings};
        CHECK(!guard.start(attempt(0)) && guard.violations(Violation::unknown_call) == 1);
    }
    {
        Guard guard = with_call(kPure);
        guard.answered(kCall);
        guard.answered(kCall);
        CHECK(guard.violations(Violation::transition) == 1);
    }
}

// Nothing leads out of the end, and nothing back to the beginning.
void table() {
    for (std::size_t to = 0; to < static_cast<std::size_t>(CallState::count_); ++to) {
        CHECK(!may_follow(CallState::left, static_cast<CallState>(to)));
        CHECK(!may_follow(static_cast<CallState>(to), CallState::taken));
    }
    CHECK(!may_follow(CallState::taken, CallState::sent) &&
          !may_follow(CallState::answered, CallState::ordered));
}

}  // namespace

int main() {
    usual_life();
    held_back();
    violations();
    table();
    std::puts("guard: every case holds");
}

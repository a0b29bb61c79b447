// The wall clock steps, or is wrong from the start, while servers start and objects are purged. The ages of
// server starts, purges and responses must stay correct.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;

namespace {

Server started(const Fixture& f, Span ago) {
    auto server = listed("s-b", "127.0.0.1:2");
    server.started_ms = f.clock.true_unix_ms() - ago / 1ms;
    return server;
}

Time started_at(const Fixture& f) {
    std::optional<Time> found;
    f.engine.for_each_server([&](const Server& server, bool) {
        if (server.entry.id.address == "s-b")
            found = server.entry.started_at;
    });
    CHECK(found);
    return *found;
}

void purge(Fixture& f, Span ago, Span max_age = Span::max()) {
    f.engine.apply(PurgeNotice{{}, kGroup, f.clock.true_unix_ms() - ago / 1ms}, max_age);
}

// The maximum age of a cached copy with which a request submitted now is sent.
std::optional<Span> age_limit(Fixture& f) {
    (void)f.submit();
    return f.sender.first_byte(f.sender.in_flight.size() - 1);
}

void ages_stay_correct_when_the_clock_steps_and_steps_back() {
    for (const Span step : {Span{-1h}, Span{-3s}, Span{3s}, Span{1h}}) {
        Fixture f;
        purge(f, 0s);  // makes the engine read both clocks for the first time
        f.list({started(f, 2500ms)});
        const Time began = f.clock.now() - 2500ms;
        CHECK(started_at(f) == began);
        f.timers.pass(10s);
        f.clock.step = step;
        // The same start time, listed again, is not a new start. A new start time is never dated too early.
        f.list({started(f, 12500ms)});
        CHECK(started_at(f) == began);
        f.list({started(f, 1s)});
        CHECK(started_at(f) >= f.clock.now() - 1s && started_at(f) <= f.clock.now());
        // The purge's age is never overestimated, and underestimated by at most its delay of 200 ms.
        purge(f, 200ms);
        f.timers.pass(1s);
        const auto oldest = age_limit(f);
        CHECK(oldest && *oldest >= 1s && *oldest <= 1200ms);
        f.clock.step = {};
        f.timers.pass(1s);
        const auto later = age_limit(f);
        CHECK(later && *later >= 2s && *later <= 2200ms);
        CHECK(f.engine.counters().clock_steps == 2);
        // A response's timestamp is a lower bound of the current time. It makes ages exact again if the clock
        // was behind.
        f.respond(f.clock.true_unix_ms());
        purge(f, 150ms);
        CHECK(age_limit(f) == Span{150ms});
    }
}

void a_purge_known_at_the_start_ages_from_its_arrival_until_a_timestamp_proves_more() {
    for (const Span ahead : {Span{1s}, Span{30s}, Span{1h}}) {
        Fixture f;
        f.clock.step = ahead;
        purge(f, 500ms);
        f.timers.pass(300ms);
        CHECK(age_limit(f) == Span{300ms});
        f.respond(f.clock.true_unix_ms());
        CHECK(age_limit(f) == Span{800ms});
    }
}

void a_completed_purge_no_longer_limits_the_copy_age() {
    Fixture f;
    f.clock.step = 1s;
    purge(f, 500ms);
    f.timers.pass(7'600ms);
    CHECK(age_limit(f) == Span{});
}

void events_older_than_discovery_allows_age_from_their_arrival() {
    Fixture f;
    f.clock.step = 1h;
    purge(f, 200ms, 10s);
    f.timers.pass(1s);
    CHECK(age_limit(f) == Span{1s} && f.engine.counters().clock_doubts == 1);
    f.engine.apply(ServerChange{false, {started(f, 1s)}}, 10s);
    CHECK(started_at(f) == f.clock.now() && f.engine.counters().clock_doubts == 2);
}

// A process that starts with its clock behind learns a lower bound of the time from the first responses.
void a_clock_that_is_behind_does_not_make_a_cached_response_too_young() {
    for (const Span behind : {Span{1s}, Span{30s}, Span{1h}}) {
        Fixture f;
        f.clock.step = -behind;
        f.enable_response_cache();
        (void)f.submit();
        f.respond(f.clock.true_unix_ms() - 500);  // gives a lower bound of the time
        f.clock.passed += 29s;                    // past max_age and stale grace
        const auto next = f.submit();
        CHECK(next->count == 0 && f.sender.in_flight.size() == 1);
        f.respond(f.clock.true_unix_ms() - 27'700);
        f.clock.passed += 400ms;
        const auto late = f.submit();
        CHECK(late->count == 0 && f.sender.in_flight.size() == 1);
        f.sender.end_all(AttemptStatus::connect_failed);
        CHECK(late->response.kind == ClientResponse::Kind::rejected);
    }
}

// A timestamp that is too far ahead to be due to a clock step is ignored.
void a_timestamp_far_ahead_leaves_cached_responses_in_use() {
    Fixture f;
    f.enable_response_cache();
    const std::int64_t far_ahead = f.clock.unix_ms() + 100 * 24 * 3'600'000LL;
    for (const std::int64_t generated_ms : {f.clock.unix_ms(), far_ahead}) {
        const auto reply = f.submit("lodge");
        f.respond(generated_ms);
        CHECK(reply->count == 1);
    }
    (void)f.submit();
    f.respond(f.clock.unix_ms());
    CHECK(f.submit()->count == 1 && f.engine.counters().own_fresh == 1);
}

}  // namespace

int main() {
    ages_stay_correct_when_the_clock_steps_and_steps_back();
    a_purge_known_at_the_start_ages_from_its_arrival_until_a_timestamp_proves_more();
    a_completed_purge_no_longer_limits_the_copy_age();
    events_older_than_discovery_allows_age_from_their_arrival();
    a_clock_that_is_behind_does_not_make_a_cached_response_too_young();
    a_timestamp_far_ahead_leaves_cached_responses_in_use();
    std::puts("wall clock: all cases passed");
}

// The wall clock steps, or is wrong from the start, while servers start and objects are purged: ages stay
// what they are.
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

// The greatest age of a copy that a request made now is sent with.
std::optional<Span> age_limit(Fixture& f) {
    (void)f.submit();
    return f.sender.first_byte(f.sender.in_flight.size() - 1);
}

void ages_hold_when_the_clock_steps_there_and_back() {
    for (const Span step : {Span{-1h}, Span{-3s}, Span{3s}, Span{1h}}) {
        Fixture f;
        purge(f, 0s);  // a first reading of both clocks
        f.list({started(f, 2500ms)});
        const Time began = f.clock.now() - 2500ms;
        CHECK(started_at(f) == began);
        f.timers.pass(10s);
        f.clock.step = step;
        // Listed again, it has not started again; listed for the first time, not earlier than it did.
        f.list({started(f, 12500ms)});
        CHECK(started_at(f) == began);
        f.list({started(f, 1s)});
        CHECK(started_at(f) >= f.clock.now() - 1s && started_at(f) <= f.clock.now());
        // A purge binds at least by its age, and by no more than it was late.
        purge(f, 200ms);
        f.timers.pass(1s);
        const auto oldest = age_limit(f);
        CHECK(oldest && *oldest >= 1s && *oldest <= 1200ms);
        f.clock.step = {};
        f.timers.pass(1s);
        const auto later = age_limit(f);
        CHECK(later && *later >= 2s && *later <= 2200ms);
        CHECK(f.engine.counters().clock_steps == 2);
        // A response from elsewhere shows how late it is at
        // least: exact again where the clock had been behind.
        f.respond(f.clock.true_unix_ms());
        purge(f, 150ms);
        CHECK(age_limit(f) == Span{150ms});
    }
}

void a_purge_known_at_the_start_counts_from_its_arrival_until_more_is_proven() {
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

void a_purge_that_is_complete_everywhere_is_forgotten() {
    Fixture f;
    f.clock.step = 1s;
    purge(f, 500ms);
    f.timers.pass(7'600ms);
    CHECK(age_limit(f) == Span{});
}

void events_older_than_discovery_allows_count_from_their_arrival() {
    Fixture f;
    f.clock.step = 1h;
    purge(f, 200ms, 10s);
    f.timers.pass(1s);
    CHECK(age_limit(f) == Span{1s} && f.engine.counters().clock_doubts == 1);
    f.engine.apply(ServerChange{false, {started(f, 1s)}}, 10s);
    CHECK(started_at(f) == f.clock.now() && f.engine.counters().clock_doubts == 2);
}

// A process that begins with its clock behind learns from the first responses how late it is at least.
void no_cached_response_counts_as_too_young_by_a_clock_that_is_behind() {
    for (const Span behind : {Span{1s}, Span{30s}, Span{1h}}) {
        Fixture f;
        f.clock.step = -behind;
        f.enable_response_cache();
        (void)f.submit();
        f.respond(f.clock.true_unix_ms() - 500);  // shows how late it is at least
        f.clock.passed += 29s;                    // past max_age and grace
        const auto next = f.submit();
        CHECK(next->count == 0 && f.sender.in_flight.size() == 1);
        f.respond(f.clock.true_unix_ms() - 27'700);
        f.clock.passed += 400ms;
        const auto late = f.submit();
        CHECK(late->count == 0 && f.sender.in_flight.size() == 1);
        f.sender.end_all(AttemptStatus::connect_failed);
        CHECK(late->answer.kind == ClientResponse::Kind::rejected);
    }
}

// What is too far ahead to be a clock's step says nothing.
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
    ages_hold_when_the_clock_steps_there_and_back();
    a_purge_known_at_the_start_counts_from_its_arrival_until_more_is_proven();
    a_purge_that_is_complete_everywhere_is_forgotten();
    events_older_than_discovery_allows_count_from_their_arrival();
    no_cached_response_counts_as_too_young_by_a_clock_that_is_behind();
    a_timestamp_far_ahead_leaves_cached_responses_in_use();
    std::puts("wall clock: every case holds");
}

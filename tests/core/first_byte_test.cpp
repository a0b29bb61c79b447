// Checks at an attempt's first byte. Establishing a connection may take long, so conditions that held when
// the attempt was decided may no longer hold.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;
using silverrail::routing::Condition;

namespace {

void first_byte_is_suppressed_if_the_target_drains() {
    Fixture f;
    (void)f.submit();
    const AttemptRequest attempt = f.sender.in_flight.at(0);
    CHECK(f.sender.first_byte(attempt.key) == Span{});
    f.list({listed(attempt.target.address, attempt.address, "small-box", Condition::draining)});
    // Suppressed at once: the drain's grace period may be short, or partly over when the list is received.
    CHECK(!f.sender.first_byte(attempt.key));
    f.timers.pass(1600ms);
    CHECK(!f.sender.first_byte(attempt.key));
}

void first_byte_is_suppressed_if_the_source_is_gone() {
    Fixture f;
    (void)f.submit();
    f.list({listed("s-parent", "127.0.0.1:3", "parent", Condition::gone)});
    CHECK(!f.sender.first_byte(0));
}

void retries_of_a_keyed_request_end_with_the_retry_window_of_its_first_attempt() {
    for (const Span waited : {800ms, 900ms}) {
        Fixture f;
        const auto reply = f.submit("order");
        f.timers.pass(50ms);
        f.sender.end(0, {.attempt_status = AttemptStatus::reset});  // it may have run
        f.timers.pass(waited - 50ms);
        CHECK(f.sender.first_byte(0).has_value() == (waited == 800ms));
        f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        if (waited == 900ms)
            CHECK(f.sender.in_flight.empty() && reply->response.kind == ClientResponse::Kind::rejected);
    }
}

void a_purge_limits_the_copy_age_and_a_client_close_suppresses_the_attempt() {
    Fixture f;
    (void)f.submit();
    const auto key = f.sender.in_flight.at(0).key;
    // A current timestamp from another machine. Without one, a purge's age counts from its arrival.
    f.engine.apply(PurgeNotice{{}, silverrail::routing::GroupId{99}, f.clock.unix_ms()});
    f.engine.apply(PurgeNotice{{}, kGroup, f.clock.unix_ms() - 120});
    f.timers.pass(80ms);
    CHECK(f.sender.first_byte(key) == Span{200ms});
    f.engine.client_closed(*f.id);
    CHECK(!f.sender.first_byte(key));
    CHECK(f.sender.cancelled == 1 && f.engine.open() == 0);
}

// The decision module no longer knows the purge by then, so the attempt uses the class's max_age.
void a_purge_older_than_the_max_age_of_the_class_does_not_raise_it() {
    auto with_short_max_age = settings();
    with_short_max_age.classes.at(0).max_age = 3s;
    Fixture f{with_short_max_age};
    f.engine.apply(PurgeNotice{{}, kGroup, f.clock.unix_ms()});
    f.timers.pass(7200ms);
    (void)f.submit();
    CHECK(f.sender.in_flight.at(0).max_age == Span{});
    CHECK(f.sender.first_byte(0) == Span{});
}

}  // namespace

int main() {
    first_byte_is_suppressed_if_the_target_drains();
    first_byte_is_suppressed_if_the_source_is_gone();
    retries_of_a_keyed_request_end_with_the_retry_window_of_its_first_attempt();
    a_purge_limits_the_copy_age_and_a_client_close_suppresses_the_attempt();
    a_purge_older_than_the_max_age_of_the_class_does_not_raise_it();
    std::puts("first byte: all cases passed");
}

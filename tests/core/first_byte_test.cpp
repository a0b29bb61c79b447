// The wait for a connection may be long: what was right when an attempt was decided is checked again at its
// first byte.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;
using silverrail::routing::Condition;

namespace {

void no_byte_goes_to_a_target_that_drains() {
    Fixture f;
    (void)f.submit();
    const AttemptRequest attempt = f.sender.in_flight.at(0);
    CHECK(f.sender.first_byte(attempt.key) == Span{});
    f.list({listed(attempt.target.address, attempt.address, "small-box", Condition::draining)});
    // The grace may be short, or half over when the list is received.
    CHECK(!f.sender.first_byte(attempt.key));
    f.timers.pass(1600ms);
    CHECK(!f.sender.first_byte(attempt.key));
}

void no_byte_names_a_source_that_is_gone() {
    Fixture f;
    (void)f.submit();
    f.list({listed("s-parent", "127.0.0.1:3", "parent", Condition::gone)});
    CHECK(!f.sender.first_byte(0));
}

void repeats_of_a_keyed_request_end_with_the_window_of_its_first_attempt() {
    for (const Span waited : {800ms, 900ms}) {
        Fixture f;
        const auto reply = f.submit("order");
        f.timers.pass(50ms);
        f.sender.end(0, {.attempt_status = AttemptStatus::reset});  // it may have run
        f.timers.pass(waited - 50ms);
        CHECK(f.sender.first_byte(0).has_value() == (waited == 800ms));
        f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        if (waited == 900ms)
            CHECK(f.sender.in_flight.empty() && reply->answer.kind == ClientResponse::Kind::rejected);
    }
}

void a_purge_limits_the_age_and_a_closed_client_ends_the_attempt() {
    Fixture f;
    (void)f.submit();
    const auto key = f.sender.in_flight.at(0).key;
    // A timestamp of this moment from elsewhere: without one a purge counts from its arrival.
    f.engine.apply(PurgeNotice{{}, silverrail::routing::GroupId{99}, f.clock.unix_ms()});
    f.engine.apply(PurgeNotice{{}, kGroup, f.clock.unix_ms() - 120});
    f.timers.pass(80ms);
    CHECK(f.sender.first_byte(key) == Span{200ms});
    f.engine.client_closed(*f.id);
    CHECK(!f.sender.first_byte(key));
    CHECK(f.sender.cancelled == 1 && f.engine.open() == 0);
}

// The module has forgotten the purge by then, and asks for the class's max_age.
void a_purge_older_than_the_max_age_of_the_class_does_not_loosen_it() {
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
    no_byte_goes_to_a_target_that_drains();
    no_byte_names_a_source_that_is_gone();
    repeats_of_a_keyed_request_end_with_the_window_of_its_first_attempt();
    a_purge_limits_the_age_and_a_closed_client_ends_the_attempt();
    a_purge_older_than_the_max_age_of_the_class_does_not_loosen_it();
    std::puts("first byte: every case holds");
}

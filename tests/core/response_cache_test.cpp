// The response cache in the engine: what it answers, when it stands in for a rejection, and what purges do.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;

namespace {

using Kind = ClientResponse::Kind;

void a_fresh_response_answers_without_an_attempt() {
    Fixture f;
    f.enable_response_cache();
    const auto first = f.submit();
    f.respond(f.clock.unix_ms());
    const auto second = f.submit();
    CHECK(first->count == 1 && second->count == 1 && !f.id && f.sender.in_flight.empty());
    CHECK(second->answer.kind == Kind::served && second->answer.body == "bytes");
    CHECK(second->answer.tag == "tag" && f.engine.counters().own_fresh == 1);
    f.submit("pages", 2s, true);  // a client that connects to the server itself gets a name
    CHECK(f.engine.counters().redirected == 1 && f.engine.counters().own_fresh == 1);
}

void a_stale_response_stands_in_for_a_rejection_while_purges_are_reliable() {
    Fixture f;
    f.enable_response_cache();
    (void)f.submit();
    f.respond(f.clock.unix_ms());
    f.clock.passed += 9s;  // past its max_age, so a server is asked
    const auto stale = f.submit();
    CHECK(stale->count == 0 && f.sender.in_flight.size() == 1);
    f.sender.end_all(AttemptStatus::connect_failed);
    CHECK(stale->has(Kind::served));
    CHECK(f.engine.counters().own_stale == 1 && f.engine.counters().refused == 0);

    f.engine.set_purges_reliable(false);
    const auto rejected = f.submit();
    f.sender.end_all(AttemptStatus::connect_failed);
    CHECK(rejected->answer.kind == Kind::rejected);
}

void a_response_requested_before_a_purge_is_not_stored() {
    Fixture f;
    f.enable_response_cache();
    (void)f.submit();
    f.respond(f.clock.unix_ms());
    f.engine.set_purges_reliable(false);
    f.engine.set_purges_reliable(true);
    f.clock.passed += 18s;
    const auto reply = f.submit();
    const auto before = f.clock.unix_ms();
    f.clock.passed += 5ms;
    f.engine.apply(PurgeNotice{std::nullopt, kGroup, before + 1});
    f.respond(before);  // on its way when the purge came
    CHECK(reply->count == 1);
    const auto after = f.submit();
    CHECK(after->count == 0 && f.sender.in_flight.size() == 1);
}

// A response that was long on its way is older than a purge that is complete at the servers: it goes to its
// client, who asked before the purge came, and to nobody else.
void a_late_response_goes_to_its_own_client_only() {
    struct Case {
        const char* name;
        Span timeout;  // the client's
        Span purged;   // when the purge comes, after the request
        Span issued;   // before it comes
        Span answer;   // after the request
    };
    // Copies are cleared within 6 s and purges effective within half a second; clients time out after 5 s.
    const Case cases[] = {
        {"on its way when the purge comes", 5s, 1s, 1s, 2s},
        {"past the time in which servers clear", 5s, 1s, 4s, 4700ms},
        {"a purge as late as can be", 5s, 100ms, 7s, 4700ms},
        {"a request that outlasts the settings' timeout", 10s, 100ms, 7s, 9900ms},
    };
    for (const Case& c : cases) {
        Fixture f;
        f.enable_response_cache();
        const auto reply = f.submit("pages", c.timeout);
        f.clock.passed += c.purged;
        const auto issued = f.clock.unix_ms() - c.issued / 1ms;
        f.engine.apply(PurgeNotice{kObjectId, {}, issued});
        f.clock.passed += c.answer - c.purged;
        f.respond(issued - 1, "old");
        CHECK(reply->answer.kind == Kind::served && reply->answer.body == "old");
        // Neither as a fresh response nor in place of a rejection.
        const auto next = f.submit();
        CHECK(next->count == 0 && f.sender.in_flight.size() == 1);
        f.sender.end_all(AttemptStatus::connect_failed);
        CHECK(next->answer.kind == Kind::rejected);
    }
}

}  // namespace

int main() {
    a_fresh_response_answers_without_an_attempt();
    a_stale_response_stands_in_for_a_rejection_while_purges_are_reliable();
    a_response_requested_before_a_purge_is_not_stored();
    a_late_response_goes_to_its_own_client_only();
    std::puts("response cache: every case holds");
}

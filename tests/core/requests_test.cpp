// The request lifecycle in the engine: one response by the deadline, admission, redirects.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;

namespace {

using Kind = ClientResponse::Kind;

void each_attempt_status_leads_to_one_response() {
    struct Case {
        const char* class_name;
        AttemptStatus attempt_status;
        Kind kind;  // after the last attempt
        std::size_t attempts;
    };
    const Case cases[] = {
        {"pages", AttemptStatus::success, Kind::served, 1},
        {"pages", AttemptStatus::reset, Kind::rejected, 6},
        {"pages", AttemptStatus::connect_failed, Kind::rejected, 6},
        {"lodge", AttemptStatus::reset, Kind::failed, 1},  // the attempt may have run
        {"lodge", AttemptStatus::error, Kind::failed, 1},
        {"lodge", AttemptStatus::timeout, Kind::failed, 1},
        {"lodge", AttemptStatus::connect_failed, Kind::rejected, 6},  // no attempt has run
    };
    for (const Case& c : cases) {
        Fixture f;
        const auto reply = f.submit(c.class_name);
        std::size_t attempts = 0;
        while (!f.sender.in_flight.empty()) {
            ++attempts;
            f.sender.end(0, {.attempt_status = c.attempt_status, .body = "bytes"});
        }
        CHECK(reply->has(c.kind) && attempts <= c.attempts);
        CHECK((c.attempts == 1) == (attempts == 1));
        CHECK(f.engine.open() == 0);
    }
}

void a_request_to_silent_servers_is_answered_once_at_its_deadline() {
    for (const char* class_name : {"pages", "lodge"}) {
        Fixture f;
        const auto reply = f.submit(class_name, 700ms);
        f.timers.pass(699ms);
        CHECK(reply->count == 0);
        f.timers.pass(3ms);
        CHECK(reply->count == 1 && reply->response.timed_out);
        CHECK((reply->response.kind == Kind::failed) == (std::string_view{class_name} == "lodge"));
        CHECK(f.sender.in_flight.empty() && f.engine.open() == 0);
    }
}

void a_sender_may_fail_before_it_returns() {
    Fixture f;
    f.sender.fails_connects = true;
    const auto reply = f.submit();
    CHECK(reply->has(Kind::rejected) && f.engine.open() == 0);
    CHECK(reply->response.retry_after == 250ms);
}

void unknown_expired_and_excess_requests_are_not_admitted() {
    Fixture f;
    CHECK(f.submit("nowhere")->response.kind == Kind::failed);
    CHECK(f.submit("pages", 0s)->response.timed_out);
    std::vector<std::shared_ptr<RecordingSink>> replies;
    for (int i = 0; i < 21; ++i)
        replies.push_back(f.submit("lodge"));
    CHECK(replies[19]->count == 0 && replies[20]->count == 1);
    CHECK(replies[20]->response.kind == Kind::rejected && replies[20]->response.retry_after > 0s);
    CHECK(f.engine.counters().not_admitted == 1);
}

void a_redirect_needs_no_more_than_a_server_address() {
    Fixture f;
    auto reply = f.submit("pages", 1s, true);
    CHECK(reply->response.kind == Kind::redirected && !reply->response.server_address.empty());
    CHECK(f.sender.in_flight.empty() && f.engine.open() == 0);
    f.engine.apply(PurgeNotice{kObjectId, {}, f.clock.unix_ms()});
    reply = f.submit("pages", 1s, true);
    CHECK(reply->response.kind == Kind::rejected && reply->response.retry_after > 0s);
    CHECK(f.engine.counters().not_carried == 1);
}

}  // namespace

int main() {
    each_attempt_status_leads_to_one_response();
    a_request_to_silent_servers_is_answered_once_at_its_deadline();
    a_sender_may_fail_before_it_returns();
    unknown_expired_and_excess_requests_are_not_admitted();
    a_redirect_needs_no_more_than_a_server_address();
    std::puts("requests: all cases passed");
}

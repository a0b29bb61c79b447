// The rules for requests, each tested at its boundary: one final response in time, no repeated effect,
// draining, slow start, and purges.
#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

// ---- One final response in time ----

TEST(FinalResponse, RequestThatCannotBeSentIsRejectedImmediately) {
    TestRouter router{default_settings(), ServerList{.complete = true}};
    router.request(1);
    EXPECT_TRUE(router.find_action<Reject>());
    EXPECT_EQ(router.instance.sizes().open_requests, 0u);
}

TEST(FinalResponse, TimeoutAtTheDeadlineIsNotRetried) {
    TestRouter router;
    const auto id = router.request(1);
    router.advance(4s);
    router.end_attempt(id, AttemptStatus::timeout);
    EXPECT_FALSE(router.find_action<Send>());
    EXPECT_TRUE(router.find_action<Reject>());
    EXPECT_EQ(router.instance.sizes().open_requests, 0u);
}

TEST(FinalResponse, LateRepeatedAndUnknownEventsAreIgnored) {
    TestRouter router;
    const auto id = router.request(1);
    router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
    for (const Event& event :
         {Event{Outcome{.request = id}}, Event{ClientClosed{id}}, Event{Timer{TimerId{1}}},
          Event{Outcome{.request = RequestId{999}, .attempt = 3}}, Event{ResponseStarted{id, 0}}}) {
        EXPECT_TRUE(router.handle(event).empty());
    }
    EXPECT_EQ(router.instance.sizes().open_requests, 0u);
}

TEST(FinalResponse, RequestOfAClosedClientIsKeptOnlyUntilItsAttemptEnds) {
    TestRouter router;
    const auto id = router.request(1);
    EXPECT_TRUE(router.handle(ClientClosed{id}).empty());
    EXPECT_TRUE(router.end_attempt(id, AttemptStatus::overloaded).empty());  // neither a retry nor a response
    EXPECT_EQ(router.instance.sizes().open_requests, 0u);
}

TEST(FinalResponse, AttemptsAreLimited) {
    auto settings = default_settings();
    settings.max_attempts = 2;
    TestRouter router{settings};
    const auto id = router.request(1);
    router.end_attempt(id, AttemptStatus::overloaded, CacheStatus::none, 0);
    EXPECT_TRUE(router.find_action<Send>());
    router.end_attempt(id, AttemptStatus::overloaded, CacheStatus::none, 1);
    EXPECT_FALSE(router.find_action<Send>());
    EXPECT_TRUE(router.find_action<Reject>());
}

// ---- No repeated effect ----

TEST(Idempotency, NonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected) {
    for (const AttemptStatus attempt_status :
         {AttemptStatus::timeout, AttemptStatus::reset, AttemptStatus::error, AttemptStatus::cancelled}) {
        TestRouter router;
        const auto id = router.request(1, 2);
        router.end_attempt(id, attempt_status);
        EXPECT_FALSE(router.find_action<Send>());
        EXPECT_FALSE(router.find_action<Reject>());
        EXPECT_TRUE(router.find_action<Fail>());
    }
}

TEST(Idempotency, NonIdempotentRequestThatDidNotRunIsRetried) {
    TestRouter router;
    const auto id = router.request(1, 2);
    router.end_attempt(id, AttemptStatus::connect_failed);
    EXPECT_TRUE(router.find_action<Send>());
}

TEST(Idempotency, KeyedRequestIsRetriedOnlyWithinItsRetryWindow) {
    for (const auto& [passed, retried] : {std::pair{1900ms, true}, std::pair{2000ms, false}}) {
        TestRouter router;
        const auto id = router.request(1, 1);
        router.advance(passed);
        router.end_attempt(id, AttemptStatus::reset);
        EXPECT_EQ(router.find_action<Send>().has_value(), retried);
        // All servers drop repeats, so rejecting is safe.
        EXPECT_EQ(router.find_action<Reject>().has_value(), !retried);
    }
}

TEST(Idempotency, KeyedRequestIsNotRetriedOutsideItsKeyScope) {
    auto settings = default_settings();
    settings.cache_bypass_supported = false;  // sent through a cache with the origin as source
    settings.classes[1].key_scope = KeyScope::cell;
    auto server_list = default_servers();
    for (std::size_t i = 0; i < server_list.servers.size(); ++i)
        server_list.servers[i].cell = CellId{static_cast<int>(i)};
    TestRouter router{settings, server_list};
    const auto id = router.request(1, 1);
    router.end_attempt(id, AttemptStatus::reset);
    EXPECT_FALSE(router.find_action<Send>());
    EXPECT_FALSE(router.find_action<Reject>());
    EXPECT_TRUE(router.find_action<Fail>());
}

TEST(Idempotency, OnlyOneAttemptIsInFlight) {
    TestRouter router;
    const auto id = router.request(1);
    const auto first_target = router.target();
    router.advance(1250ms);
    router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}});
    EXPECT_TRUE(router.find_action<Cancel>());
    EXPECT_FALSE(router.find_action<Send>());  // only after the first has ended
    router.end_attempt(id, AttemptStatus::cancelled);
    EXPECT_TRUE(router.find_action<Send>());
    EXPECT_NE(router.target(), first_target);
}

// ---- Draining ----

TEST(Draining, DrainingServerIsNeitherTargetNorSource) {
    for (const Condition condition : {Condition::draining, Condition::gone}) {
        TestRouter router;
        router.set_condition("c1", condition);
        router.set_condition("p1", condition);
        for (std::uint64_t object = 1; object < 60; ++object) {
            const auto id = router.request(object);
            EXPECT_NE(router.target(), "c1");
            EXPECT_NE(router.source(), "p1");
            router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
        }
    }
}

TEST(Draining, ServerAbsentFromACompleteListIsGone) {
    TestRouter router;
    router.handle(default_servers(1, 1));
    for (std::uint64_t object = 1; object < 20; ++object) {
        const auto id = router.request(object);
        EXPECT_EQ(router.target(), "c1");
        EXPECT_EQ(router.source(), "p1");
        router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
    }
}

TEST(Draining, RetryAvoidsAServerThatHasStartedToDrain) {
    TestRouter router{default_settings(), default_servers(2, 2)};
    const auto id = router.request(1);
    const std::string other = router.target() == "c1" ? "c2" : "c1";
    router.set_condition(other, Condition::draining);
    router.end_attempt(id, AttemptStatus::connect_failed);
    EXPECT_NE(router.target(), other);
}

// ---- Slow start of caches and parents ----

Settings slow_start_settings() {
    auto s = default_settings();
    s.routers = 4;
    s.routers_in_zone = 2;
    s.max_response_kb_per_s = 1000;
    s.server_weights = ServerWeights::nominal;
    s.zone_link_kb_per_s = 1000000;
    s.slow_start_share = 0.25;
    s.slow_start_duration = 18s;
    s.overload_multiple = 2;
    s.overload_window = 1s;
    s.parent_slow_start_share = 0.1;
    s.parent_slow_start_duration = 20s;
    s.parent_overload_multiple = 2;
    return s;
}

// Returns the work, in seconds of sending time, that goes to `address` as target or source in one second.
double work_sent_to(TestRouter& router, const std::string& address, CacheStatus cache_status) {
    double work = 0;
    for (std::uint64_t object = 1; object <= 500; ++object) {
        const RequestId id{++router.last_id};
        router.handle(
            Request{.id = id, .object = ObjectId{object}, .size_kb = 100, .deadline = router.now + 4s});
        if (router.target() == address || router.source() == address)
            work += 0.1;  // 100 KB at 1000 KB/s
        if (router.find_action<Send>())
            router.end_attempt(id, AttemptStatus::success, cache_status);
        router.advance(2ms);
    }
    return work;
}

void converge_size_estimate(TestRouter& router) {  // makes the mean sending time converge to 0.1 s
    for (std::uint64_t i = 0; i < 200; ++i) {
        const RequestId id{++router.last_id};
        router.handle(
            Request{.id = id, .object = ObjectId{9000 + i}, .size_kb = 100, .deadline = router.now + 4s});
        if (router.find_action<Send>())
            router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
    }
}

TEST(SlowStart, ColdCacheGetsOnlyThisRoutersShare) {
    TestRouter router{slow_start_settings()};
    converge_size_estimate(router);
    router.restart("c1", router.now);
    // The limit of all routers is 2 x (0.25 to 0.29) x 8 in one second, at most 4.7; this router's share is
    // half.
    const double work = work_sent_to(router, "c1", CacheStatus::hit);
    EXPECT_GT(work, 0.5);
    EXPECT_LT(work, 0.5 * 2 * 8 * 0.25);
}

TEST(SlowStart, ColdParentGetsOnlyThisRoutersShareOfFills) {
    TestRouter router{slow_start_settings()};
    converge_size_estimate(router);
    router.restart("p1", router.now);
    const double work = work_sent_to(router, "p1", CacheStatus::filled);
    EXPECT_GT(work, 0.05);
    EXPECT_LT(work, 0.25 * 2 * 8 * 0.1);
}

TEST(SlowStart, WarmCacheIsNotLimited) {
    TestRouter router{slow_start_settings()};
    converge_size_estimate(router);
    router.restart("c1", router.now - 19s);
    EXPECT_GT(work_sent_to(router, "c1", CacheStatus::hit), 10);
}

// ---- Purges ----

TEST(Purges, LimitTheAgeOfCopiesUntilAllOlderOnesAreGone) {
    TestRouter router;
    const auto age = [&](std::uint64_t object) {
        return router.serve(object)->fill->max_age;
    };
    EXPECT_EQ(age(1), 0ns);
    router.handle(Purge{.object = ObjectId{1}, .age = 100ms});
    EXPECT_EQ(age(1), 100ms);
    EXPECT_EQ(age(2), 0ns);  // another object
    router.advance(5800ms);
    EXPECT_EQ(age(1), 5900ms);
    router.advance(2s);
    EXPECT_EQ(age(1), 0ns);
}

TEST(Purges, OfAGroupApplyToAllItsObjectsAndExpire) {
    TestRouter router;
    router.handle(Purge{.group = GroupId{5}, .age = 0ns});
    router.request(1, 0, 4s, GroupId{5});
    EXPECT_EQ(router.find_action<Send>()->fill->max_age, 1ns);  // zero would mean any age
    router.request(1, 0, 4s, GroupId{6});
    EXPECT_EQ(router.find_action<Send>()->fill->max_age, 0ns);
    EXPECT_EQ(router.instance.sizes().remembered_purges, 1u);
    router.advance(10s);
    router.handle(Purge{.object = ObjectId{8}});
    EXPECT_EQ(router.instance.sizes().remembered_purges, 1u);
}

TEST(Purges, LatestOfSeveralApplies) {
    TestRouter router;
    router.handle(Purge{.object = ObjectId{1}, .age = 10ms});
    router.handle(Purge{.object = ObjectId{1}, .age = 900ms});
    router.handle(Purge{.group = GroupId{0}, .age = 500ms});
    router.request(1);
    EXPECT_EQ(router.find_action<Send>()->fill->max_age, 10ms);
}

TEST(Purges, FillsAreNotCoalescedWhileAPurgeApplies) {
    auto settings = default_settings();
    settings.coalescing_supported = true;
    TestRouter router{settings};
    router.request(1);
    EXPECT_TRUE(router.find_action<Send>()->fill->coalesce);
    router.handle(Purge{.object = ObjectId{2}, .age = 10ms});
    router.request(2);
    EXPECT_FALSE(router.find_action<Send>()->fill->coalesce);
}

TEST(Purges, StaleCopiesFromBeforeThePurgeAreNotAccepted) {
    auto settings = default_settings();
    settings.classes[0].max_age = 8s;
    settings.classes[0].stale_grace = 10s;
    settings.classes[0].stale_weight = 0.5;
    TestRouter router{settings};
    router.handle(Purge{.object = ObjectId{1}, .age = 700ms});
    const auto id = router.request(1);
    router.end_attempt(id, AttemptStatus::overloaded);
    EXPECT_EQ(router.find_action<Send>()->fill->max_age, 700ms);
    const auto other = router.request(2);
    router.end_attempt(other, AttemptStatus::overloaded);
    // Stale copies are accepted after a failed attempt.
    EXPECT_EQ(router.find_action<Send>()->fill->max_age, 18s);
}

}  // namespace
// The router does not see the result of a redirected request, and the client may send further requests to
// the same server. Nothing may be learned from its outcome.
TEST(Redirected, ClientIsNeverSentToAColdCache) {
    auto settings = default_settings();
    settings.cache_bypass_supported = false;
    settings.slow_start_duration = 10s;
    settings.slow_start_share = 0.3;
    settings.overload_window = 3s;
    TestRouter router{settings, default_servers(2)};
    router.restart("c1", router.now);
    router.advance(5s);  // by now its budget would cover one request
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const RequestId id{++router.last_id};
        router.handle(
            Request{.id = id, .object = ObjectId{i}, .deadline = router.now + 1s, .redirected = true});
        EXPECT_EQ(router.target(), "c2");
        router.end_attempt(id, AttemptStatus::unobserved, CacheStatus::none, 0, true);
    }
    EXPECT_EQ(router.instance.sizes().open_requests, 0u);
}

TEST(Redirected, UnobservedOutcomeChangesNoState) {
    auto settings = default_settings();
    settings.cache_bypass_supported = false;
    TestRouter redirecting{settings, default_servers(3)};
    TestRouter reference{settings, default_servers(3)};
    for (std::uint64_t i = 1; i <= 200; ++i) {
        const RequestId id{++redirecting.last_id};
        redirecting.handle(
            Request{.id = id, .object = ObjectId{i}, .deadline = redirecting.now + 1s, .redirected = true});
        redirecting.end_attempt(id, AttemptStatus::unobserved, CacheStatus::none, 0, true);
        reference.last_id = redirecting.last_id;
    }
    // No ejection, no reduced capacity, no added retry budget: both routers now decide alike.
    for (std::uint64_t i = 1000; i < 1040; ++i) {
        const RequestId a = redirecting.request(i);
        const RequestId b = reference.request(i);
        EXPECT_EQ(redirecting.target(), reference.target());
        EXPECT_EQ(redirecting.source(), reference.source());
        redirecting.end_attempt(a, AttemptStatus::error);
        reference.end_attempt(b, AttemptStatus::error);
        EXPECT_EQ(redirecting.target(), reference.target());
        EXPECT_EQ(redirecting.find_action<Reject>().has_value(), reference.find_action<Reject>().has_value());
    }
}

}  // namespace silverrail::routing::testing

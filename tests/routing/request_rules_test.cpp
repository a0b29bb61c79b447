// The five rules, each at its boundary.
#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

// ---- one final answer in time ----

TEST(Answers, ARequestThatCannotBeSentIsRejectedAtOnce) {
    TestRouter g{plain_settings(), ServerList{.complete = true}};
    g.request(1);
    EXPECT_TRUE(g.find<Reject>());
    EXPECT_EQ(g.router.sizes().open_requests, 0u);
}

TEST(Answers, ATimeoutAtTheDeadlineIsAnsweredWithoutARetry) {
    TestRouter g;
    const auto id = g.request(1);
    g.pass(4s);
    g.end(id, AttemptStatus::timeout);
    EXPECT_FALSE(g.find<Send>());
    EXPECT_TRUE(g.find<Reject>());
    EXPECT_EQ(g.router.sizes().open_requests, 0u);
}

TEST(Answers, LateRepeatedAndUnknownEventsAreIgnored) {
    TestRouter g;
    const auto id = g.request(1);
    g.end(id, AttemptStatus::success, CacheStatus::hit);
    for (const Event& news :
         {Event{Outcome{.request = id}}, Event{ClientClosed{id}}, Event{Timer{TimerId{1}}},
          Event{Outcome{.request = RequestId{999}, .attempt = 3}}, Event{ResponseStarted{id, 0}}}) {
        EXPECT_TRUE(g.notify(news).empty());
    }
    EXPECT_EQ(g.router.sizes().open_requests, 0u);
}

TEST(Answers, ARequestOfAClosedClientIsKeptOnlyUntilItsAttemptEnds) {
    TestRouter g;
    const auto id = g.request(1);
    EXPECT_TRUE(g.notify(ClientClosed{id}).empty());
    EXPECT_TRUE(g.end(id, AttemptStatus::overloaded).empty());  // no further send, no answer
    EXPECT_EQ(g.router.sizes().open_requests, 0u);
}

TEST(Answers, AttemptsAreBounded) {
    auto settings = plain_settings();
    settings.max_attempts = 2;
    TestRouter g{settings};
    const auto id = g.request(1);
    g.end(id, AttemptStatus::overloaded, CacheStatus::none, 0);
    EXPECT_TRUE(g.find<Send>());
    g.end(id, AttemptStatus::overloaded, CacheStatus::none, 1);
    EXPECT_FALSE(g.find<Send>());
    EXPECT_TRUE(g.find<Reject>());
}

// ---- no double effect ----

TEST(Idempotency, ANonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected) {
    for (const AttemptStatus attempt_status :
         {AttemptStatus::timeout, AttemptStatus::reset, AttemptStatus::error, AttemptStatus::cancelled}) {
        TestRouter g;
        const auto id = g.request(1, 2);
        g.end(id, attempt_status);
        EXPECT_FALSE(g.find<Send>());
        EXPECT_FALSE(g.find<Reject>());
        EXPECT_TRUE(g.find<Fail>());
    }
}

TEST(Idempotency, ANonIdempotentRequestThatDidNotRunIsRetried) {
    TestRouter g;
    const auto id = g.request(1, 2);
    g.end(id, AttemptStatus::connect_failed);
    EXPECT_TRUE(g.find<Send>());
}

TEST(Idempotency, AKeyedRequestIsRepeatedOnlyWithinItsWindow) {
    for (const auto& [passed, again] : {std::pair{1900ms, true}, std::pair{2000ms, false}}) {
        TestRouter g;
        const auto id = g.request(1, 1);
        g.pass(passed);
        g.end(id, AttemptStatus::reset);
        EXPECT_EQ(g.find<Send>().has_value(), again);
        EXPECT_EQ(g.find<Reject>().has_value(), !again);  // all caches drop repeats, so a refusal is true
    }
}

TEST(Idempotency, AKeyedRequestOfANarrowerScopeLeavesItNever) {
    auto settings = plain_settings();
    settings.cache_bypass_supported = false;  // through a cache, the origin as its source
    settings.classes[1].key_scope = KeyScope::cell;
    auto fleet = plain_fleet();
    for (std::size_t i = 0; i < fleet.servers.size(); ++i)
        fleet.servers[i].cell = CellId{static_cast<int>(i)};
    TestRouter g{settings, fleet};
    const auto id = g.request(1, 1);
    g.end(id, AttemptStatus::reset);
    EXPECT_FALSE(g.find<Send>());
    EXPECT_FALSE(g.find<Reject>());
    EXPECT_TRUE(g.find<Fail>());
}

TEST(Idempotency, NeverTwoAttemptsAtOnce) {
    TestRouter g;
    const auto id = g.request(1);
    const auto home = g.target();
    g.pass(1250ms);
    g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}});
    EXPECT_TRUE(g.find<Cancel>());
    EXPECT_FALSE(g.find<Send>());  // only once the first has ended
    g.end(id, AttemptStatus::cancelled);
    EXPECT_TRUE(g.find<Send>());
    EXPECT_NE(g.target(), home);
}

// ---- drains ----

TEST(Draining, NothingNewGoesToADrainingCacheNorNamesItAsSource) {
    for (const Condition condition : {Condition::draining, Condition::gone}) {
        TestRouter g;
        g.change("c1", condition);
        g.change("p1", condition);
        for (std::uint64_t object = 1; object < 60; ++object) {
            const auto id = g.request(object);
            EXPECT_NE(g.target(), "c1");
            EXPECT_NE(g.source(), "p1");
            g.end(id, AttemptStatus::success, CacheStatus::hit);
        }
    }
}

TEST(Draining, ACacheThatACompleteListLeavesOutIsGone) {
    TestRouter g;
    g.notify(plain_fleet(1, 1));
    for (std::uint64_t object = 1; object < 20; ++object) {
        const auto id = g.request(object);
        EXPECT_EQ(g.target(), "c1");
        EXPECT_EQ(g.source(), "p1");
        g.end(id, AttemptStatus::success, CacheStatus::hit);
    }
}

TEST(Draining, ARetryAvoidsAServerThatDrainsMeanwhile) {
    TestRouter g{plain_settings(), plain_fleet(2, 2)};
    const auto id = g.request(1);
    const std::string other = g.target() == "c1" ? "c2" : "c1";
    g.change(other, Condition::draining);
    g.end(id, AttemptStatus::connect_failed);
    EXPECT_NE(g.target(), other);
}

// ---- cold caches and parents ----

Settings cold_settings() {
    auto s = plain_settings();
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

// Seconds of sending that go to `address` (as target or source) in the first second after its start.
double pushed(TestRouter& g, const std::string& address, CacheStatus cache_status) {
    double work = 0;
    for (std::uint64_t object = 1; object <= 500; ++object) {
        const RequestId id{++g.ids};
        g.notify(Request{.id = id, .object = ObjectId{object}, .size_kb = 100, .deadline = g.now + 4s});
        if (g.target() == address || g.source() == address)
            work += 0.1;  // 100 KB at 1000 KB/s
        if (g.find<Send>())
            g.end(id, AttemptStatus::success, cache_status);
        g.pass(2ms);
    }
    return work;
}

void settle_sizes(TestRouter& g) {  // lets the mean sending time settle on 0.1 s
    for (std::uint64_t i = 0; i < 200; ++i) {
        const RequestId id{++g.ids};
        g.notify(Request{.id = id, .object = ObjectId{9000 + i}, .size_kb = 100, .deadline = g.now + 4s});
        if (g.find<Send>())
            g.end(id, AttemptStatus::success, CacheStatus::hit);
    }
}

TEST(SlowStart, ACacheGetsThisRoutersShareOnly) {
    TestRouter g{cold_settings()};
    settle_sizes(g);
    g.restart("c1", g.now);
    // Twice 0.25..0.29 of 8 for a second is at most 4.7; half of it is this router's.
    const double work = pushed(g, "c1", CacheStatus::hit);
    EXPECT_GT(work, 0.5);
    EXPECT_LT(work, 0.5 * 2 * 8 * 0.25);
}

TEST(SlowStart, AParentGetsThisRoutersShareOfFills) {
    TestRouter g{cold_settings()};
    settle_sizes(g);
    g.restart("p1", g.now);
    const double work = pushed(g, "p1", CacheStatus::filled);
    EXPECT_GT(work, 0.05);
    EXPECT_LT(work, 0.25 * 2 * 8 * 0.1);
}

TEST(SlowStart, AWarmCacheIsNotHeldBack) {
    TestRouter g{cold_settings()};
    settle_sizes(g);
    g.restart("c1", g.now - 19s);
    EXPECT_GT(pushed(g, "c1", CacheStatus::hit), 10);
}

// ---- purges ----

TEST(Purges, BoundTheAgeOfCopiesUntilAllOlderOnesAreGone) {
    TestRouter g;
    const auto age = [&](std::uint64_t object) {
        return g.serve(object)->fill->max_age;
    };
    EXPECT_EQ(age(1), 0ns);
    g.notify(Purge{.object = ObjectId{1}, .age = 100ms});
    EXPECT_EQ(age(1), 100ms);
    EXPECT_EQ(age(2), 0ns);  // another object
    g.pass(5800ms);
    EXPECT_EQ(age(1), 5900ms);
    g.pass(2s);
    EXPECT_EQ(age(1), 0ns);
}

TEST(Purges, OfAGroupBindAllItsObjectsAndAreForgottenInTime) {
    TestRouter g;
    g.notify(Purge{.group = GroupId{5}, .age = 0ns});
    g.request(1, 0, 4s, GroupId{5});
    EXPECT_EQ(g.find<Send>()->fill->max_age, 1ns);  // zero would mean any age
    g.request(1, 0, 4s, GroupId{6});
    EXPECT_EQ(g.find<Send>()->fill->max_age, 0ns);
    EXPECT_EQ(g.router.sizes().remembered_purges, 1u);
    g.pass(10s);
    g.notify(Purge{.object = ObjectId{8}});
    EXPECT_EQ(g.router.sizes().remembered_purges, 1u);
}

TEST(Purges, TheNewestOfSeveralBinds) {
    TestRouter g;
    g.notify(Purge{.object = ObjectId{1}, .age = 10ms});
    g.notify(Purge{.object = ObjectId{1}, .age = 900ms});
    g.notify(Purge{.group = GroupId{0}, .age = 500ms});
    g.request(1);
    EXPECT_EQ(g.find<Send>()->fill->max_age, 10ms);
}

TEST(Purges, AFillUnderWayIsNotJoinedWhileAPurgeBinds) {
    auto settings = plain_settings();
    settings.coalescing_supported = true;
    TestRouter g{settings};
    g.request(1);
    EXPECT_TRUE(g.find<Send>()->fill->coalesce);
    g.notify(Purge{.object = ObjectId{2}, .age = 10ms});
    g.request(2);
    EXPECT_FALSE(g.find<Send>()->fill->coalesce);
}

TEST(Purges, StaleCopiesAreNotAskedForPastThePurge) {
    auto settings = plain_settings();
    settings.classes[0].max_age = 8s;
    settings.classes[0].stale_grace = 10s;
    settings.classes[0].stale_weight = 0.5;
    TestRouter g{settings};
    g.notify(Purge{.object = ObjectId{1}, .age = 700ms});
    const auto id = g.request(1);
    g.end(id, AttemptStatus::overloaded);
    EXPECT_EQ(g.find<Send>()->fill->max_age, 700ms);
    const auto other = g.request(2);
    g.end(other, AttemptStatus::overloaded);
    EXPECT_EQ(g.find<Send>()->fill->max_age, 18s);  // a failed first try: stale will do
}

}  // namespace
// Where the client goes to the cache itself, nobody here sees how that ends: one name may bring many
// requests, and nothing may be learned from it.
TEST(Redirected, NeverNamesAColdCache) {
    auto settings = plain_settings();
    settings.cache_bypass_supported = false;
    settings.slow_start_duration = 10s;
    settings.slow_start_share = 0.3;
    settings.overload_window = 3s;
    TestRouter g{settings, plain_fleet(2)};
    g.restart("c1", g.now);
    g.pass(5s);  // by now its budget would bear one
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const RequestId id{++g.ids};
        g.notify(Request{.id = id, .object = ObjectId{i}, .deadline = g.now + 1s, .redirected = true});
        EXPECT_EQ(g.target(), "c2");
        g.end(id, AttemptStatus::unobserved, CacheStatus::none, 0, true);
    }
    EXPECT_EQ(g.router.sizes().open_requests, 0u);
}

TEST(Redirected, AnUnobservedEndTeachesNothing) {
    auto settings = plain_settings();
    settings.cache_bypass_supported = false;
    TestRouter told{settings, plain_fleet(3)};
    TestRouter not_told{settings, plain_fleet(3)};
    for (std::uint64_t i = 1; i <= 200; ++i) {
        const RequestId id{++told.ids};
        told.notify(Request{.id = id, .object = ObjectId{i}, .deadline = told.now + 1s, .redirected = true});
        told.end(id, AttemptStatus::unobserved, CacheStatus::none, 0, true);
        not_told.ids = told.ids;
    }
    // Nobody is ejected, no room has shrunk, no retry was earned: both go the same ways from here.
    for (std::uint64_t i = 1000; i < 1040; ++i) {
        const RequestId a = told.request(i);
        const RequestId b = not_told.request(i);
        EXPECT_EQ(told.target(), not_told.target());
        EXPECT_EQ(told.source(), not_told.source());
        told.end(a, AttemptStatus::error);
        not_told.end(b, AttemptStatus::error);
        EXPECT_EQ(told.target(), not_told.target());
        EXPECT_EQ(told.find<Reject>().has_value(), not_told.find<Reject>().has_value());
    }
}

}  // namespace silverrail::routing::testing

// Protection against failing, slow and overloaded servers, which the router detects only from outcomes and
// missing responses.
#include <algorithm>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

std::uint64_t object_preferring(TestRouter& router, const std::string& cache) {
    for (std::uint64_t object = 1;; ++object) {
        const auto send = router.serve(object);
        if (send && send->target.address == cache)
            return object;
    }
}

TEST(Ejection, CacheThatRefusesConnectionsIsEjectedAndTriedAgain) {
    TestRouter router;
    const auto object = object_preferring(router, "c1");
    for (int i = 0; i < 2; ++i) {
        const auto id = router.request(object);
        ASSERT_EQ(router.target(), "c1");
        router.end_attempt(id, AttemptStatus::connect_failed);
        EXPECT_NE(router.target(), "c1");
        router.end_attempt(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    EXPECT_NE(router.serve(object)->target.address, "c1");
    router.advance(1100ms);
    const auto trial = router.request(object);
    EXPECT_EQ(router.target(), "c1");
    router.request(object);
    EXPECT_NE(router.target(), "c1");  // one trial at a time
    router.end_attempt(trial, AttemptStatus::success, CacheStatus::hit);
    EXPECT_EQ(router.serve(object)->target.address, "c1");
}

// Malformed and truncated responses affect all caches alike: if two in a row sufficed, all caches would
// soon be ejected.
TEST(Ejection, TakesMoreResetConnectionsThanRefusedOnes) {
    TestRouter router;
    const auto object = object_preferring(router, "c1");
    for (int i = 0; i < 4; ++i) {
        const auto id = router.request(object);
        ASSERT_EQ(router.target(), "c1");
        router.end_attempt(id, AttemptStatus::reset);
        router.end_attempt(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    EXPECT_NE(router.serve(object)->target.address, "c1");
}

TEST(UnresponsiveServer, IsEjectedOnlyIfAnotherResponds) {
    for (const bool others_respond : {true, false}) {
        TestRouter router;
        const auto object = object_preferring(router, "c1");
        const auto other = object_preferring(router, "c2");
        router.advance(1ms);
        std::vector<RequestId> request_ids;
        for (int i = 0; i < 2; ++i)
            request_ids.push_back(router.request(object));
        router.advance(1250ms);
        if (others_respond)
            router.serve(other);
        for (const auto id : request_ids)
            router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        EXPECT_TRUE(router.find_action<Cancel>());
        for (const auto id : request_ids)
            router.end_attempt(id, AttemptStatus::cancelled);
        router.request(object);
        EXPECT_EQ(router.target() == "c1", !others_respond);
    }
}

TEST(UnresponsiveServer, FillWithinObjectiveContinuesIfCacheRespondsToOthers) {
    TestRouter router;
    const auto object = object_preferring(router, "c1");
    router.advance(1ms);
    const auto id = router.request(object);
    router.advance(390ms);
    router.serve(object, CacheStatus::filled);
    EXPECT_TRUE(router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}}).size() == 1);
    EXPECT_TRUE(router.find_action<SetTimer>());
}

// Guards against parents that become slow without failing: their fills would use up the router's fill limit.
TEST(SlowServer, ParentPastItsObjectiveAndTwiceAsSlowAsAPeerGetsOneFillAtATime) {
    for (const bool all_slow : {false, true}) {
        TestRouter router;
        const auto fill_taking = [&](std::uint64_t object, Span duration) {
            const auto id = router.request(object);
            const auto source = router.source();
            router.handle(Outcome{.request = id,
                                  .attempt_status = AttemptStatus::success,
                                  .duration = duration,
                                  .request_completed = true,
                                  .cache_status = CacheStatus::filled});
            return source;
        };
        std::vector<std::uint64_t> at_p1;
        for (std::uint64_t object = 1; at_p1.size() < 5; ++object)
            if (fill_taking(object, all_slow ? 900ms : 100ms) == "p1")
                at_p1.push_back(object);
        for (int i = 0; i < 60; ++i)
            fill_taking(at_p1[0], 900ms);  // objective: 400 ms
        router.request(at_p1[1]);
        EXPECT_EQ(router.source(), "p1");  // the trial request
        router.request(at_p1[2]);
        EXPECT_EQ(router.source(), all_slow ? "p1" : "p2");
    }
}

// Guards against the outage of a whole zone: none of its caches responds, so none can be recognised as an
// outlier.
TEST(UnresponsiveServer, AfterTwoUnresponsiveCachesRequestBypassesCachesIfAllowed) {
    for (const bool direct : {true, false}) {
        auto settings = default_settings();
        settings.cache_bypass_supported = direct;
        TestRouter router{settings, default_servers(3, 4)};
        const auto id = router.request(1);
        for (std::uint32_t n = 0; n < 2; ++n) {
            ASSERT_EQ(router.target()[0], 'c');
            router.advance(1250ms);
            router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}});
            ASSERT_TRUE(router.find_action<Cancel>());
            router.end_attempt(id, AttemptStatus::cancelled, CacheStatus::none, n);
        }
        EXPECT_EQ(router.target()[0], direct ? 'p' : 'c');
    }
}

// If many routers share a cache, random variation alone brings several concurrent requests of one router to
// it.
TEST(SmallShare, AllowsForRandomVariationAtACache) {
    auto settings = default_settings();
    settings.server_weights = ServerWeights::nominal;
    settings.routers_in_zone = 8;  // this router's share of a cache is one concurrent response
    TestRouter router{settings, default_servers(3, 4)};
    const auto object = object_preferring(router, "c1");
    for (int i = 0; i < 3; ++i) {
        router.request(object);
        EXPECT_EQ(router.target(), "c1");
    }
    for (int i = 0; i < 3; ++i)
        router.request(object);
    EXPECT_NE(router.target(), "c1");
}

// Guards against overload of the caches' own links: late hits reduce the number of concurrent requests per
// cache.
TEST(SmallShare, LateHitsReduceCacheCapacity) {
    const auto requests_at_cache = [](bool late) {
        TestRouter router;  // all caches have weight 1
        const auto object = object_preferring(router, "c1");
        for (int i = 0; i < 10; ++i) {
            const auto id = router.request(object);
            router.handle(Outcome{.request = id,
                                  .attempt_status = AttemptStatus::success,
                                  .duration = late ? 900ms : 50ms,
                                  .request_completed = true,
                                  .cache_status = CacheStatus::hit});
        }
        int concurrent = 0;
        while (router.request(object), router.target() == "c1")
            ++concurrent;
        return concurrent;
    };
    EXPECT_LT(requests_at_cache(true), requests_at_cache(false));
}

TEST(FullLink, DirectReadsCountAsFills) {
    auto settings = default_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    TestRouter router{settings, default_servers(0)};
    int sent = 0;
    for (std::uint64_t object = 1; object <= 30; ++object) {
        router.request(object);
        sent += router.find_action<Send>().has_value();
    }
    EXPECT_GT(sent, 2);
    EXPECT_LT(sent, 12);
}

// Guards against unused link capacity in a zone whose few live caches are full while the others hang.
TEST(FullCaches, AreBypassedWhileTheLinkHasCapacity) {
    auto settings = default_settings();
    settings.server_weights =
        ServerWeights::nominal;  // weight 8: full at 20 requests plus two standard deviations
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 1000000;
    TestRouter router{settings, default_servers(1)};
    int at_cache = 0;
    for (std::uint64_t object = 1; object <= 35; ++object) {
        router.request(object);
        at_cache += router.target() == "c1";
    }
    EXPECT_EQ(at_cache, 29);
    EXPECT_NE(router.target(), "");
}

// Guards against sources that reject fills immediately: no late response would ever show that they are
// overloaded.
TEST(FullLink, RejectedFillsReduceTheLimit) {
    auto settings = default_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 8000;
    const auto fill_limit_after = [&](int rejected_requests,
                                      AttemptStatus attempt_status = AttemptStatus::overloaded) {
        TestRouter router{settings, default_servers(9, 4)};
        std::uint64_t object = 1;
        for (int i = 0; i < rejected_requests; ++i) {
            const auto id = router.request(object++);
            for (std::uint32_t n = 0; router.find_action<Send>(); ++n)
                router.end_attempt(id, attempt_status, CacheStatus::none, n);
        }
        router.advance(20s);  // ejections have expired
        int in_flight = 0;
        do {
            router.request(object++);
            router.advance(1ms);
        } while (router.source() != router.target() && ++in_flight < 60);
        return in_flight;
    };
    EXPECT_LT(fill_limit_after(3), fill_limit_after(0));
    // Truncated responses do not indicate overload.
    EXPECT_EQ(fill_limit_after(3, AttemptStatus::reset), fill_limit_after(0));
}

// Guards a slow or overloaded origin: objects that parents hold are still served, and requests for other
// objects do not all reach the origin at once.
TEST(OverloadedOrigin, ParentsAreFirstAskedForCachedCopies) {
    for (const bool late : {false, true}) {
        auto settings = default_settings();
        settings.max_response_kb_per_s = 1000;
        settings.zone_link_kb_per_s = 40000;
        TestRouter router{settings, default_servers(9, 4)};
        for (std::uint64_t object = 1; object <= 12; ++object) {
            const auto id = router.request(object);
            router.handle(Outcome{.request = id,
                                  .attempt_status = AttemptStatus::success,
                                  .duration = late ? 900ms : 50ms,
                                  .request_completed = true,
                                  .cache_status = CacheStatus::filled_from_origin});
        }
        int only_if_cached = 0;
        int rejected = 0;
        for (std::uint64_t object = 101; object <= 140; ++object) {
            const auto id = router.request(object);
            const auto send = router.find_action<Send>();
            if (!send || !send->fill || !send->fill->only_if_cached) {
                router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
                continue;
            }
            ++only_if_cached;
            router.end_attempt(id, AttemptStatus::miss, CacheStatus::source_missing);
            if (router.find_action<Send>()) {
                EXPECT_FALSE(router.find_action<Send>()->fill->only_if_cached);
            }
            rejected += router.find_action<Reject>().has_value();
        }
        EXPECT_EQ(only_if_cached > 5, late);
        EXPECT_EQ(rejected > 0, late);
    }
}

// Small objects may still be filled when the link is nearly full, because their fills end soon.
TEST(FullLink, SmallObjectsHaveAHigherLimit) {
    auto settings = default_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    TestRouter router{settings, default_servers(0)};
    const auto send_sized = [&](std::uint64_t object, double kb) {
        router.handle(Request{.id = RequestId{++router.last_id},
                              .object = ObjectId{object},
                              .size_kb = kb,
                              .deadline = router.now + 4s});
        return router.find_action<Send>().has_value();
    };
    std::uint64_t object = 1;
    while (object < 40 && send_sized(object, 500))
        ++object;
    ASSERT_LT(object, 40u);
    EXPECT_FALSE(send_sized(100, 500));
    EXPECT_TRUE(send_sized(101, 20));
}

// A server that responds again after refusing connections has restarted and is treated as cold before the
// server list reports it. A reset connection does not mean this: the process still runs and its cache is
// warm.
TEST(SlowStart, IsInferredAfterRefusedButNotResetConnections) {
    for (const AttemptStatus attempt_status : {AttemptStatus::connect_failed, AttemptStatus::reset}) {
        auto settings = default_settings();
        settings.slow_start_share = 0.1;
        settings.slow_start_duration = 10s;
        settings.overload_multiple = 1;
        settings.overload_window = 1s;
        TestRouter router{settings};
        const auto object = object_preferring(router, "c1");
        for (int i = 0; i < 2; ++i) {
            const auto id = router.request(object);
            router.end_attempt(id, attempt_status);
            router.end_attempt(id, AttemptStatus::success, CacheStatus::hit, 1);
        }
        router.advance(1100ms);
        EXPECT_EQ(router.serve(object)->target.address, "c1");  // the trial request succeeds
        EXPECT_EQ(router.serve(object)->target.address == "c1", attempt_status == AttemptStatus::reset);
    }
}

// Guards a parent that has to serve the fills of its failed or slow peers.
TEST(OverloadedParent, IsSkippedOnceThisRoutersShareOfItsLinkIsUsed) {
    auto settings = default_settings();
    settings.server_weights = ServerWeights::nominal;  // weight 8, so 20 expected fills
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 1000000;
    TestRouter router{settings, default_servers(9, 1)};
    int at_parent = 0;
    int at_origin = 0;
    for (std::uint64_t object = 1; object <= 60; ++object) {
        router.request(object);
        router.advance(1ms);
        at_parent += router.source() == "p1";
        at_origin += router.source() == "origin";
    }
    EXPECT_GE(at_parent, 20);  // not all of them are expected to be misses
    EXPECT_LT(at_parent, 60);
    EXPECT_GT(at_origin, 0);
}

TEST(RetryBudget, LimitsRetries) {
    TestRouter router;
    int sends = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = router.request(static_cast<std::uint64_t>(i));
        for (std::uint32_t n = 0; router.find_action<Send>(); ++n, ++sends)
            router.end_attempt(id, AttemptStatus::overloaded, CacheStatus::none, n);
        EXPECT_TRUE(router.find_action<Reject>());
    }
    EXPECT_LT(sends, 200 + 20 + 41);
}

TEST(NoParents, OriginFetchesAreLimitedAndCachesServeCachedCopies) {
    TestRouter router{default_settings(), default_servers(3, 0)};
    int from_origin = 0;
    for (std::uint64_t i = 1; i <= 30; ++i) {
        router.request(i);
        from_origin += router.source() == "origin";
    }
    EXPECT_GT(from_origin, 0);
    EXPECT_LT(from_origin, 10);
}

TEST(NoCaches, RequestsGoDirectlyToParentsIfAllowed) {
    TestRouter router{default_settings(), default_servers(0)};
    router.request(1);
    EXPECT_EQ(router.target()[0], 'p');
    EXPECT_EQ(router.source(), "origin");
    auto settings = default_settings();
    settings.cache_bypass_supported = false;
    TestRouter without_bypass{settings, default_servers(0)};
    without_bypass.request(1);
    EXPECT_TRUE(without_bypass.find_action<Reject>());
}

// When the link is full of fills, hits are still served and a miss is rejected immediately.
TEST(FullLink, CachesServeCachedCopiesAndMissesAreRejected) {
    auto settings = default_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    settings.server_weights = ServerWeights::nominal;
    TestRouter router{settings};
    RequestId last{};
    std::uint64_t object = 1;
    for (; object < 40; ++object) {
        last = router.request(object);
        router.advance(1ms);
        if (router.source() == router.target())
            break;
    }
    ASSERT_LT(object, 24u);
    router.end_attempt(last, AttemptStatus::miss);
    EXPECT_FALSE(router.find_action<Send>());
    EXPECT_TRUE(router.find_action<Reject>());
}

// A fill may be slow without being hung, so it is treated as hung only while other fills are in time.
TEST(HungAttempt, FillIsRetriedOnlyWhileFillsAreInTime) {
    for (const bool in_time : {true, false}) {
        TestRouter router;
        std::uint64_t object = 0;
        for (int late = 0; !in_time && late < 3;) {  // at another parent, so that p2's latency is unaffected
            const auto id = router.request(++object);
            const bool first = router.source() == "p1";
            router.handle(Outcome{.request = id,
                                  .attempt_status = AttemptStatus::success,
                                  .duration = first ? 900ms : 50ms,
                                  .request_completed = true,
                                  .cache_status = first ? CacheStatus::filled : CacheStatus::hit});
            late += first;
        }
        RequestId id{};
        do {
            router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
            id = router.request(++object);
        } while (router.target() != "c1" || router.source() != "p2");
        router.advance(1ms);
        router.serve(object);  // its cache responds to other requests
        router.advance(520ms);
        router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        EXPECT_EQ(router.find_action<Cancel>().has_value(), in_time);
    }
}

// Guards against single requests that never get a response from a server that responds to others: waiting
// until their deadline would use up the limits and keep their clients waiting.
TEST(HungAttempt, IsRetriedElsewhereIfItsCacheRespondsToOthers) {
    for (const bool responds_to_others : {true, false}) {
        auto settings = default_settings();
        settings.max_response_kb_per_s = 1000;
        settings.zone_link_kb_per_s = 4000;
        settings.server_weights = ServerWeights::nominal;
        TestRouter router{settings};
        std::uint64_t object = 0;
        RequestId id{};
        do {
            id = router.request(++object);
            router.advance(1ms);
            ASSERT_LT(object, 40u);
        } while (router.source() != router.target());  // the link is full: only a cached copy is requested
        const std::string cache = router.target();
        while (responds_to_others) {
            const auto other = router.request(++object);
            if (router.target() == cache) {
                router.end_attempt(other, AttemptStatus::success, CacheStatus::hit);
                break;
            }
        }
        router.advance(300ms);
        router.handle(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        ASSERT_EQ(router.find_action<Cancel>().has_value(), responds_to_others);
        if (!responds_to_others)
            continue;
        router.end_attempt(id, AttemptStatus::cancelled);
        ASSERT_TRUE(router.find_action<Send>());
        EXPECT_NE(router.target(), cache);
    }
}

TEST(Segments, OfOneObjectAreSpreadOverTheCaches) {
    auto settings = default_settings();
    settings.classes[0].segmented = true;
    TestRouter router{settings};
    std::vector<std::string> targets;
    std::string source;
    for (std::uint32_t segment = 0; segment < 12; ++segment) {
        const RequestId id{++router.last_id};
        router.handle(
            Request{.id = id, .object = ObjectId{4}, .segment = segment, .deadline = router.now + 4s});
        targets.push_back(router.target());
        if (segment > 0) {
            EXPECT_EQ(router.source(), source);
        }
        source = router.source();
        router.end_attempt(id, AttemptStatus::success, CacheStatus::hit);
    }
    EXPECT_GT(std::count(targets.begin(), targets.end(), "c1"), 0);
    EXPECT_GT(std::count(targets.begin(), targets.end(), "c2"), 0);
}

}  // namespace
}  // namespace silverrail::routing::testing

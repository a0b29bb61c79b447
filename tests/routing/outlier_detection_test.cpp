// Defences against what fails, each told from outcomes and silence alone.
#include <algorithm>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

std::uint64_t object_of(TestRouter& g, const std::string& home) {
    for (std::uint64_t object = 1;; ++object) {
        const auto send = g.serve(object);
        if (send && send->target.address == home)
            return object;
    }
}

TEST(Ejection, ACacheThatRefusesConnectionsIsEjectedAndTriedAgain) {
    TestRouter g;
    const auto object = object_of(g, "c1");
    for (int i = 0; i < 2; ++i) {
        const auto id = g.request(object);
        ASSERT_EQ(g.target(), "c1");
        g.end(id, AttemptStatus::connect_failed);
        EXPECT_NE(g.target(), "c1");
        g.end(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    EXPECT_NE(g.serve(object)->target.address, "c1");
    g.pass(1100ms);
    const auto trial = g.request(object);
    EXPECT_EQ(g.target(), "c1");
    g.request(object);
    EXPECT_NE(g.target(), "c1");  // one trial at a time
    g.end(trial, AttemptStatus::success, CacheStatus::hit);
    EXPECT_EQ(g.serve(object)->target.address, "c1");
}

// Answers that are spoilt or cut off come from all caches alike: two in a row would soon bar them all.
TEST(Ejection, TakesMoreAnswersCutOffThanRefusedConnections) {
    TestRouter g;
    const auto object = object_of(g, "c1");
    for (int i = 0; i < 4; ++i) {
        const auto id = g.request(object);
        ASSERT_EQ(g.target(), "c1");
        g.end(id, AttemptStatus::reset);
        g.end(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    EXPECT_NE(g.serve(object)->target.address, "c1");
}

TEST(Silence, EjectsACacheOnlyIfAnotherAnswersMeanwhile) {
    for (const bool others_answer : {true, false}) {
        TestRouter g;
        const auto object = object_of(g, "c1");
        const auto other = object_of(g, "c2");
        g.pass(1ms);
        std::vector<RequestId> held;
        for (int i = 0; i < 2; ++i)
            held.push_back(g.request(object));
        g.pass(1250ms);
        if (others_answer)
            g.serve(other);
        for (const auto id : held)
            g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        EXPECT_TRUE(g.find<Cancel>());
        for (const auto id : held)
            g.end(id, AttemptStatus::cancelled);
        g.request(object);
        EXPECT_EQ(g.target() == "c1", !others_answer);
    }
}

TEST(Silence, AFillAtACacheThatAnswersOthersRunsOnWithinItsObjective) {
    TestRouter g;
    const auto object = object_of(g, "c1");
    g.pass(1ms);
    const auto id = g.request(object);
    g.pass(390ms);
    g.serve(object, CacheStatus::filled);
    EXPECT_TRUE(g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}}).size() == 1);
    EXPECT_TRUE(g.find<SetTimer>());
}

// Guards against parents that turn slow without failing: their fills would hold all of a router's places.
TEST(Slowness, AParentPastItsObjectiveAndTwiceAsSlowAsAPeerGetsOneFillAtATime) {
    for (const bool all_slow : {false, true}) {
        TestRouter g;
        const auto fill_in = [&](std::uint64_t object, Span took) {
            const auto id = g.request(object);
            const auto source = g.source();
            g.notify(Outcome{.request = id,
                             .attempt_status = AttemptStatus::success,
                             .duration = took,
                             .request_completed = true,
                             .cache_status = CacheStatus::filled});
            return source;
        };
        std::vector<std::uint64_t> at_p1;
        for (std::uint64_t object = 1; at_p1.size() < 5; ++object)
            if (fill_in(object, all_slow ? 900ms : 100ms) == "p1")
                at_p1.push_back(object);
        for (int i = 0; i < 60; ++i)
            fill_in(at_p1[0], 900ms);  // aim 400 ms
        g.request(at_p1[1]);
        EXPECT_EQ(g.source(), "p1");  // the trial
        g.request(at_p1[2]);
        EXPECT_EQ(g.source(), all_slow ? "p1" : "p2");
    }
}

// Guards against a lost zone: no cache of it is left to show that the others are silent.
TEST(Silence, TwoSilentCachesInARowSendARequestPastThemWhereThatIsAllowed) {
    for (const bool direct : {true, false}) {
        auto settings = plain_settings();
        settings.cache_bypass_supported = direct;
        TestRouter g{settings, plain_fleet(3, 4)};
        const auto id = g.request(1);
        for (std::uint32_t n = 0; n < 2; ++n) {
            ASSERT_EQ(g.target()[0], 'c');
            g.pass(1250ms);
            g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}});
            ASSERT_TRUE(g.find<Cancel>());
            g.end(id, AttemptStatus::cancelled, CacheStatus::none, n);
        }
        EXPECT_EQ(g.target()[0], direct ? 'p' : 'c');
    }
}

// Guards small shares: chance alone brings several requests at once to a cache that many routers share.
TEST(SmallShare, LeavesCapacityForChanceAtAnObjectsCache) {
    auto settings = plain_settings();
    settings.server_weights = ServerWeights::nominal;
    settings.routers_in_zone = 8;  // one answer at once is this router's share of a cache
    TestRouter g{settings, plain_fleet(3, 4)};
    const auto object = object_of(g, "c1");
    for (int i = 0; i < 3; ++i) {
        g.request(object);
        EXPECT_EQ(g.target(), "c1");
    }
    for (int i = 0; i < 3; ++i)
        g.request(object);
    EXPECT_NE(g.target(), "c1");
}

// Guards overload of the caches' own links: hits that come late lower how many may be out at one cache.
TEST(SmallShare, LateHitsLowerTheCapacityOfACache) {
    const auto at_home = [](bool late) {
        TestRouter g;  // unweighted caches
        const auto object = object_of(g, "c1");
        for (int i = 0; i < 10; ++i) {
            const auto id = g.request(object);
            g.notify(Outcome{.request = id,
                             .attempt_status = AttemptStatus::success,
                             .duration = late ? 900ms : 50ms,
                             .request_completed = true,
                             .cache_status = CacheStatus::hit});
        }
        int out = 0;
        while (g.request(object), g.target() == "c1")
            ++out;
        return out;
    };
    EXPECT_LT(at_home(true), at_home(false));
}

TEST(FullLink, DirectReadsCountAsFills) {
    auto settings = plain_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    TestRouter g{settings, plain_fleet(0)};
    int sent = 0;
    for (std::uint64_t object = 1; object <= 30; ++object) {
        g.request(object);
        sent += g.find<Send>().has_value();
    }
    EXPECT_GT(sent, 2);
    EXPECT_LT(sent, 12);
}

// Guards a zone whose few live caches are full while the others hang: the link still has room.
TEST(FullCaches, ARequestGoesPastThemWhileTheLinkHasRoom) {
    auto settings = plain_settings();
    settings.server_weights =
        ServerWeights::nominal;  // 8 a cache: full at 20 and two deviations of this router's
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 1000000;
    TestRouter g{settings, plain_fleet(1)};
    int at_cache = 0;
    for (std::uint64_t object = 1; object <= 35; ++object) {
        g.request(object);
        at_cache += g.target() == "c1";
    }
    EXPECT_EQ(at_cache, 29);
    EXPECT_NE(g.target(), "");
}

// Guards against sources that turn fills away at once: no late answer would ever tell that they are
// overloaded.
TEST(FullLink, RejectedFillsLowerTheLimit) {
    auto settings = plain_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 8000;
    const auto places = [&](int turned_away, AttemptStatus attempt_status = AttemptStatus::overloaded) {
        TestRouter g{settings, plain_fleet(9, 4)};
        std::uint64_t object = 1;
        for (int i = 0; i < turned_away; ++i) {
            const auto id = g.request(object++);
            for (std::uint32_t n = 0; g.find<Send>(); ++n)
                g.end(id, attempt_status, CacheStatus::none, n);
        }
        g.pass(20s);  // whoever was ejected is tried again
        int open = 0;
        do {
            g.request(object++);
            g.pass(1ms);
        } while (g.source() != g.target() && ++open < 60);
        return open;
    };
    EXPECT_LT(places(3), places(0));
    EXPECT_EQ(places(3, AttemptStatus::reset), places(0));  // cut off: no sign of a crowd
}

// Guards an origin that is slow or pushed too far: what parents hold is still served, what they lack is not
// asked of the origin by everyone at once.
TEST(CrowdedOrigin, ParentsAreFirstAskedForWhatTheyHold) {
    for (const bool late : {false, true}) {
        auto settings = plain_settings();
        settings.max_response_kb_per_s = 1000;
        settings.zone_link_kb_per_s = 40000;
        TestRouter g{settings, plain_fleet(9, 4)};
        for (std::uint64_t object = 1; object <= 12; ++object) {
            const auto id = g.request(object);
            g.notify(Outcome{.request = id,
                             .attempt_status = AttemptStatus::success,
                             .duration = late ? 900ms : 50ms,
                             .request_completed = true,
                             .cache_status = CacheStatus::filled_from_origin});
        }
        int only_if_cached = 0;
        int refused = 0;
        for (std::uint64_t object = 101; object <= 140; ++object) {
            const auto id = g.request(object);
            const auto send = g.find<Send>();
            if (!send || !send->fill || !send->fill->only_if_cached) {
                g.end(id, AttemptStatus::success, CacheStatus::hit);
                continue;
            }
            ++only_if_cached;
            g.end(id, AttemptStatus::miss, CacheStatus::source_missing);
            if (g.find<Send>()) {
                EXPECT_FALSE(g.find<Send>()->fill->only_if_cached);
            }
            refused += g.find<Reject>().has_value();
        }
        EXPECT_EQ(only_if_cached > 5, late);
        EXPECT_EQ(refused > 0, late);
    }
}

// Guards small objects in a shortage: their fills are over soon.
TEST(FullLink, SmallObjectsMayUseMoreOfIt) {
    auto settings = plain_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    TestRouter g{settings, plain_fleet(0)};
    const auto ask_sized = [&](std::uint64_t object, double kb) {
        g.notify(Request{
            .id = RequestId{++g.ids}, .object = ObjectId{object}, .size_kb = kb, .deadline = g.now + 4s});
        return g.find<Send>().has_value();
    };
    std::uint64_t object = 1;
    while (object < 40 && ask_sized(object, 500))
        ++object;
    ASSERT_LT(object, 40u);
    EXPECT_FALSE(ask_sized(100, 500));
    EXPECT_TRUE(ask_sized(101, 20));
}

// A process that ended, seen from refused connections, and answers again is taken as cold before the list
// says so. Guards too against lost answers: their connections break, but the process runs and is as warm as
// before.
TEST(SlowStart, IsInferredFromAReturnAfterRefusedConnectionsNotBrokenOnes) {
    for (const AttemptStatus attempt_status : {AttemptStatus::connect_failed, AttemptStatus::reset}) {
        auto settings = plain_settings();
        settings.slow_start_share = 0.1;
        settings.slow_start_duration = 10s;
        settings.overload_multiple = 1;
        settings.overload_window = 1s;
        TestRouter g{settings};
        const auto object = object_of(g, "c1");
        for (int i = 0; i < 2; ++i) {
            const auto id = g.request(object);
            g.end(id, attempt_status);
            g.end(id, AttemptStatus::success, CacheStatus::hit, 1);
        }
        g.pass(1100ms);
        EXPECT_EQ(g.serve(object)->target.address, "c1");  // the trial, answered
        EXPECT_EQ(g.serve(object)->target.address == "c1", attempt_status == AttemptStatus::reset);
    }
}

// Guards a parent that its peers' loss or slowness leaves with the work of all.
TEST(CrowdedParent, IsPassedOverOnceThisRoutersShareOfItsLinkIsUsed) {
    auto settings = plain_settings();
    settings.server_weights = ServerWeights::nominal;  // 8 answers at once, so 20 likely fills
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 1000000;
    TestRouter g{settings, plain_fleet(9, 1)};
    int at_parent = 0;
    int at_origin = 0;
    for (std::uint64_t object = 1; object <= 60; ++object) {
        g.request(object);
        g.pass(1ms);
        at_parent += g.source() == "p1";
        at_origin += g.source() == "origin";
    }
    EXPECT_GE(at_parent, 20);  // not all of them are misses
    EXPECT_LT(at_parent, 60);
    EXPECT_GT(at_origin, 0);
}

TEST(RetryBudget, IsBounded) {
    TestRouter g;
    int sends = 0;
    for (int i = 0; i < 200; ++i) {
        const auto id = g.request(static_cast<std::uint64_t>(i));
        for (std::uint32_t n = 0; g.find<Send>(); ++n, ++sends)
            g.end(id, AttemptStatus::overloaded, CacheStatus::none, n);
        EXPECT_TRUE(g.find<Reject>());
    }
    EXPECT_LT(sends, 200 + 20 + 41);
}

TEST(NoParents, TheOriginIsAskedForAFewAtATimeAndCachesForWhatTheyHold) {
    TestRouter g{plain_settings(), plain_fleet(3, 0)};
    int from_origin = 0;
    for (std::uint64_t i = 1; i <= 30; ++i) {
        g.request(i);
        from_origin += g.source() == "origin";
    }
    EXPECT_GT(from_origin, 0);
    EXPECT_LT(from_origin, 10);
}

TEST(NoCaches, ParentsAreAskedDirectlyWhereThatIsAllowed) {
    TestRouter g{plain_settings(), plain_fleet(0)};
    g.request(1);
    EXPECT_EQ(g.target()[0], 'p');
    EXPECT_EQ(g.source(), "origin");
    auto settings = plain_settings();
    settings.cache_bypass_supported = false;
    TestRouter h{settings, plain_fleet(0)};
    h.request(1);
    EXPECT_TRUE(h.find<Reject>());
}

// A link that is full of fills: hits go on, a miss is refused at once.
TEST(FullLink, CachesAreAskedForWhatTheyHoldAndMissesAreRejected) {
    auto settings = plain_settings();
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 4000;
    settings.server_weights = ServerWeights::nominal;
    TestRouter g{settings};
    RequestId last{};
    std::uint64_t object = 1;
    for (; object < 40; ++object) {
        last = g.request(object);
        g.pass(1ms);
        if (g.source() == g.target())
            break;
    }
    ASSERT_LT(object, 24u);
    g.end(last, AttemptStatus::miss);
    EXPECT_FALSE(g.find<Send>());
    EXPECT_TRUE(g.find<Reject>());
}

// A fill may be slow by itself: it is taken for hung only while fills come in time.
TEST(Hung, AFillIsRetriedOnlyWhileFillsComeInTime) {
    for (const bool in_time : {true, false}) {
        TestRouter g;
        std::uint64_t object = 0;
        for (int late = 0; !in_time && late < 3;) {  // behind another parent: their pace is not this one's
            const auto id = g.request(++object);
            const bool first = g.source() == "p1";
            g.notify(Outcome{.request = id,
                             .attempt_status = AttemptStatus::success,
                             .duration = first ? 900ms : 50ms,
                             .request_completed = true,
                             .cache_status = first ? CacheStatus::filled : CacheStatus::hit});
            late += first;
        }
        RequestId id{};
        do {
            g.end(id, AttemptStatus::success, CacheStatus::hit);
            id = g.request(++object);
        } while (g.target() != "c1" || g.source() != "p2");
        g.pass(1ms);
        g.serve(object);  // its cache answers others
        g.pass(520ms);
        g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        EXPECT_EQ(g.find<Cancel>().has_value(), in_time);
    }
}

// Guards against single requests that never get an answer where others do: waited for to their end, they
// would keep their places and their clients.
TEST(Hung, ARequestThatACacheLeavesWhileItAnswersOthersIsRetriedElsewhere) {
    for (const bool answers_others : {true, false}) {
        auto settings = plain_settings();
        settings.max_response_kb_per_s = 1000;
        settings.zone_link_kb_per_s = 4000;
        settings.server_weights = ServerWeights::nominal;
        TestRouter g{settings};
        std::uint64_t object = 0;
        RequestId id{};
        do {
            id = g.request(++object);
            g.pass(1ms);
            ASSERT_LT(object, 40u);
        } while (g.source() != g.target());  // the link is full: a look
        const std::string home = g.target();
        while (answers_others) {
            const auto other = g.request(++object);
            if (g.target() == home) {
                g.end(other, AttemptStatus::success, CacheStatus::hit);
                break;
            }
        }
        g.pass(300ms);
        g.notify(Timer{TimerId{static_cast<std::uint64_t>(id)}});
        ASSERT_EQ(g.find<Cancel>().has_value(), answers_others);
        if (!answers_others)
            continue;
        g.end(id, AttemptStatus::cancelled);
        ASSERT_TRUE(g.find<Send>());
        EXPECT_NE(g.target(), home);
    }
}

TEST(Segments, PartsOfOneObjectAreSpreadOverTheCaches) {
    auto settings = plain_settings();
    settings.classes[0].segmented = true;
    TestRouter g{settings};
    std::vector<std::string> targets;
    std::string source;
    for (std::uint32_t segment = 0; segment < 12; ++segment) {
        const RequestId id{++g.ids};
        g.notify(Request{.id = id, .object = ObjectId{4}, .segment = segment, .deadline = g.now + 4s});
        targets.push_back(g.target());
        if (segment > 0) {
            EXPECT_EQ(g.source(), source);
        }
        source = g.source();
        g.end(id, AttemptStatus::success, CacheStatus::hit);
    }
    EXPECT_GT(std::count(targets.begin(), targets.end(), "c1"), 0);
    EXPECT_GT(std::count(targets.begin(), targets.end(), "c2"), 0);
}

}  // namespace
}  // namespace silverrail::routing::testing

// Many routers that share the same servers: behaviour that is harmless for one router but overloads servers
// if a hundred routers do the same.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

Settings shared_settings(int in_zone, int in_all) {
    auto s = default_settings();
    s.routers_in_zone = in_zone;
    s.routers = in_all;
    return s;
}

// The routers of one zone, which have the same settings but different seeds.
std::vector<TestRouter> make_zone(int routers, const Settings& settings,
                                  const ServerList& server_list = default_servers()) {
    std::vector<TestRouter> zone;
    for (int i = 0; i < routers; ++i) {
        zone.emplace_back(settings, server_list);
        zone.back().instance = Router{settings, 1000u + static_cast<unsigned>(i)};
        zone.back().handle(server_list);
    }
    return zone;
}

Settings slow_start_settings() {
    auto s = shared_settings(9, 100);
    s.server_weights = ServerWeights::nominal;
    s.slow_start_share = 0.26;
    s.slow_start_duration = 14s;
    s.overload_multiple = 2;
    s.overload_window = 3s;
    return s;
}

// Makes the object's first cache refuse two connections while the others respond. Returns that cache's
// address.
std::string refuse_two_connections(TestRouter& router, std::uint64_t object) {
    std::string failed_cache;
    for (int i = 0; i < 2; ++i) {
        const auto id = router.request(object);
        if (failed_cache.empty())
            failed_cache = router.target();
        EXPECT_EQ(router.target(), failed_cache);
        router.end_attempt(id, AttemptStatus::connect_failed);
        if (router.find_action<Send>())
            router.end_attempt(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    return failed_cache;
}

// The fills that several routers have in flight. All take the same time.
class PendingFills {
public:
    PendingFills(Span duration, CacheStatus cache_status)
        : duration_(duration), cache_status_(cache_status) {}
    std::size_t size() const {
        return fills_.size();
    }
    void start(std::size_t index, const TestRouter& router, RequestId id) {
        fills_.push_back({index, id, router.now + duration_});
    }
    // Reports the fills of one router that have ended.
    void end_due(std::size_t index, TestRouter& router) {
        std::erase_if(fills_, [&](const Fill& fill) {
            if (fill.router_index != index || fill.end > router.now)
                return false;
            router.handle(Outcome{.request = fill.id,
                                  .attempt_status = AttemptStatus::success,
                                  .duration = duration_,
                                  .request_completed = true,
                                  .cache_status = cache_status_});
            return true;
        });
    }

private:
    struct Fill {
        std::size_t router_index;
        RequestId id;
        Time end;
    };
    Span duration_;
    CacheStatus cache_status_;
    std::vector<Fill> fills_;
};

// An object requested once at each of ten routers is popular in the zone, so not all of them may leave it
// unstored.
TEST(SharedZone, FirstRequestIsLeftUnstoredOnlyAsOftenAsItIsTheZonesFirst) {
    constexpr int kObjects = 300;
    auto zone = make_zone(10, shared_settings(10, 100));
    int not_stored = 0;
    int never_stored = 0;
    for (std::uint64_t object = 1; object <= kObjects; ++object) {
        int unstored_copies = 0;
        for (auto& router : zone)
            unstored_copies +=
                router.serve(object, CacheStatus::filled)->fill->retention == RetentionPriority::no_store;
        not_stored += unstored_copies;
        never_stored += unstored_copies == 10;
    }
    EXPECT_NEAR(not_stored, kObjects * 10 / 9, 5 * std::sqrt(kObjects));  // one router in nine
    EXPECT_EQ(never_stored, 0);
}

TEST(SharedZone, OneOrTwoRoutersInAZoneStoreNoFirstRequest) {
    for (const int in_zone : {1, 2})
        for (auto& router : make_zone(in_zone, shared_settings(in_zone, 4)))
            for (std::uint64_t object = 1; object <= 100; ++object)
                EXPECT_EQ(router.serve(object, CacheStatus::filled)->fill->retention,
                          RetentionPriority::no_store);
}

// With little traffic no other parent may respond in the time that a refusal takes, so a refusal alone has
// to eject.
TEST(LowTraffic, RefusingSourceIsSkippedFromTheNextRequestOn) {
    TestRouter router;
    const auto id = router.request(9);
    const auto failed_parent = router.source();
    router.end_attempt(id, AttemptStatus::overloaded, CacheStatus::source_unreachable);
    EXPECT_NE(router.source(), failed_parent);
    router.end_attempt(id, AttemptStatus::success, CacheStatus::filled, 1);
    for (std::uint64_t object = 1; object < 20; ++object) {
        const auto next = router.serve(object, CacheStatus::filled);
        EXPECT_NE(next->fill->source.address, failed_parent);
    }
    router.advance(2s);
    router.request(9);
    EXPECT_EQ(router.source(), failed_parent);  // its trial request
}

// A parent whose fills are late does not get the fills of an unusable parent while the origin is faster.
TEST(LowTraffic, FillsOfAnUnusableParentDoNotOverloadASlowOne) {
    TestRouter router;
    std::vector<std::uint64_t> objects_of_other_parent;
    std::string slow;
    for (std::uint64_t object = 1; objects_of_other_parent.size() < 5; ++object) {
        const auto id = router.request(object);
        if (slow.empty())
            slow = router.source();
        if (router.source() != slow)
            objects_of_other_parent.push_back(object);
        router.handle(Outcome{.request = id,
                              .attempt_status = AttemptStatus::success,
                              .duration = router.source() == slow ? Span{1s} : Span{50ms},
                              .request_completed = true,
                              .cache_status = CacheStatus::filled});
        router.advance(50ms);
    }
    TestRouter reference;
    for (auto* test_router : {&router, &reference})
        test_router->set_condition(slow == "p1" ? "p2" : "p1", Condition::draining);
    for (const auto object : objects_of_other_parent) {
        router.request(object);
        EXPECT_EQ(router.source(), "origin");
        router.end_attempt(RequestId{router.last_id}, AttemptStatus::success,
                           CacheStatus::filled_from_origin);
        reference.request(object);
        EXPECT_EQ(reference.source(), slow);
        reference.end_attempt(RequestId{reference.last_id}, AttemptStatus::success, CacheStatus::filled);
    }
}

// Without parents, the concurrent origin fetches of a hundred routers stay near the limit for all routers
// together instead of one per router. The same seeds give the same result.
TEST(LowTraffic, OriginShareBelowOneFetchIsAShareOfTime) {
    auto settings = shared_settings(9, 100);
    settings.server_weights = ServerWeights::nominal;
    // Assumed link capacity 4 responses; the limit is 0.75 x 11 links.
    const auto server_list = default_servers(1, 0);
    std::vector<double> means;
    for (int repetition = 0; repetition < 2; ++repetition) {
        auto all = make_zone(100, settings, server_list);
        PendingFills fills{200ms, CacheStatus::filled_from_origin};
        double sum = 0;
        int samples = 0;
        std::uint64_t object = 0;
        for (int tick = 0; tick < 500; ++tick) {
            for (std::size_t i = 0; i < all.size(); ++i) {
                TestRouter& router = all[i];
                router.advance(10ms);
                fills.end_due(i, router);
                if (tick % 10 != static_cast<int>(i % 10))
                    continue;
                const auto id = router.request(++object);
                if (router.source() == "origin")
                    fills.start(i, router, id);
                else if (router.find_action<Send>())
                    router.end_attempt(id, AttemptStatus::miss);
            }
            if (tick < 100)
                continue;  // the first fetch of each router is not limited
            sum += static_cast<double>(fills.size());
            ++samples;
        }
        means.push_back(sum / samples);
    }
    EXPECT_GT(means[0], 15);
    EXPECT_LT(means[0], 45);
    EXPECT_EQ(means[0], means[1]);
}

// A hundred routers eject the same cache at the same moment: their trial requests are spread over time,
// identically in each run.
TEST(SynchronisedRouters, EjectionsEndAtDifferentTimes) {
    std::vector<std::vector<int>> runs;
    for (int repetition = 0; repetition < 2; ++repetition) {
        std::vector<int> readmission_steps;  // in steps of 10 ms
        for (auto& router : make_zone(100, shared_settings(100, 100))) {
            const std::string failed_cache = refuse_two_connections(router, 1);
            int step = 0;
            for (; step < 200; ++step) {
                router.request(1);
                if (router.target() == failed_cache)
                    break;
                router.end_attempt(RequestId{router.last_id}, AttemptStatus::success, CacheStatus::hit);
                router.advance(10ms);
            }
            readmission_steps.push_back(step);
        }
        const auto [first, last] = std::minmax_element(readmission_steps.begin(), readmission_steps.end());
        EXPECT_GE(*first, 74);  // at least three quarters of a second, at most one second
        EXPECT_LE(*last, 101);
        EXPECT_GE(*last - *first, 15);
        for (const int step : readmission_steps)
            EXPECT_LT(std::count(readmission_steps.begin(), readmission_steps.end(), step), 20);
        runs.push_back(readmission_steps);
    }
    EXPECT_EQ(runs[0], runs[1]);
}

// Nine routers learn of a new server at the same time: the work that they send it in one window must stay
// below its overload limit.
TEST(SynchronisedRouters, DoNotOverloadANewServer) {
    auto zone = make_zone(9, slow_start_settings());
    for (auto& router : zone)
        router.restart("c1", router.now);
    const double work = 0.05;  // seconds of sending time, equal to the responses' latency
    double sent = 0;
    std::uint64_t object = 0;
    for (int tick = 0; tick < 300; ++tick)  // 3 s
        for (auto& router : zone) {
            for (int i = 0; i < 2; ++i) {
                router.request(++object);
                if (router.target() == "c1")
                    sent += work;
                router.end_attempt(RequestId{router.last_id}, AttemptStatus::success, CacheStatus::hit);
            }
            router.advance(10ms);
        }
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, 2 * 8 * 0.26 * 3);  // multiple x weight x initial share x window
}

// The objects of a lost cache go to all the other caches, by each object's own rendezvous order. All
// routers choose the same cache.
TEST(SynchronisedRouters, SpreadTheObjectsOfALostServerOverTheOthers) {
    auto zone = make_zone(20, shared_settings(20, 100), default_servers(5));
    std::map<std::string, int> reassigned;
    for (std::uint64_t object = 1; object <= 400; ++object) {
        std::set<std::string> before;
        std::set<std::string> after;
        for (auto& router : zone) {
            router.set_condition("c1", Condition::ready);
            before.insert(router.serve(object)->target.address);
            router.set_condition("c1", Condition::draining);
            after.insert(router.serve(object)->target.address);
        }
        ASSERT_EQ(before.size(), 1u);
        ASSERT_EQ(after.size(), 1u);
        if (*before.begin() == "c1")
            ++reassigned[*after.begin()];
    }
    EXPECT_EQ(reassigned.size(), 4u);
    for (const auto& [cache, count] : reassigned)
        EXPECT_GE(count, 8) << cache;
}

// A server that refuses connections but responds to earlier requests has a full connection table. One that
// responds again later has restarted and is cold.
TEST(LowTraffic, FullConnectionTableIsNotARestart) {
    int sent[2] = {};
    for (const bool full : {false, true}) {
        TestRouter router{slow_start_settings(), default_servers(2)};
        const auto open = router.request(1);
        const auto first_target = router.target();
        router.advance(10ms);
        ASSERT_EQ(refuse_two_connections(router, 1), first_target);
        if (full) {
            router.end_attempt(open, AttemptStatus::success, CacheStatus::hit);
        } else {
            router.end_attempt(open, AttemptStatus::reset);
            if (router.find_action<Send>())
                router.end_attempt(open, AttemptStatus::success, CacheStatus::hit, 1);
            router.advance(3s);
            EXPECT_EQ(router.serve(1)->target.address, first_target);  // the trial request
        }
        for (int i = 0; i < 40; ++i) {
            const auto id = router.request(1);
            sent[full] += router.target() == first_target;
            router.end_attempt(id, AttemptStatus::success, CacheStatus::filled);
        }
    }
    EXPECT_EQ(sent[true], 40);
    EXPECT_LT(sent[false], 20);
}

// After a purge of all groups every request is a miss. Late fills reduce the limits until the fills of all
// routers of the zone are within the limit for small fills: twice the link's capacity at the maximum rate.
TEST(SynchronisedRouters, FillsAfterAPurgeOfAllGroupsStayWithinTheLinksLimit) {
    auto settings = shared_settings(9, 100);
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 11000;  // eleven concurrent responses at the maximum rate
    auto zone = make_zone(9, settings);
    for (auto& router : zone)
        for (std::uint64_t group = 0; group < 32; ++group)
            router.handle(Purge{.group = GroupId{group}});
    PendingFills fills{900ms, CacheStatus::filled};
    std::size_t max_late = 0;
    std::uint64_t object = 0;
    for (int tick = 0; tick < 600; ++tick) {  // 6 s
        for (std::size_t i = 0; i < zone.size(); ++i) {
            TestRouter& router = zone[i];
            router.advance(10ms);
            fills.end_due(i, router);
            if (tick % 10 != static_cast<int>(i))
                continue;
            ++object;
            const auto id = router.request(object, 0, 4s, GroupId{object % 32});
            if (!router.find_action<Send>())
                continue;
            EXPECT_GT(router.find_action<Send>()->fill->max_age, Span{});  // no copy from before the purge
            if (router.source()[0] == 'p')
                fills.start(i, router, id);
            else
                router.end_attempt(id, AttemptStatus::miss);
        }
        if (tick >= 300)
            max_late = std::max(max_late, fills.size());
    }
    EXPECT_GT(max_late, 0u);
    EXPECT_LE(max_late, 22u);
}

}  // namespace
}  // namespace silverrail::routing::testing

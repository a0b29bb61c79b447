// Many routers before the same caches: what is harmless from one and harms from a hundred.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

Settings shared_settings(int in_zone, int in_all) {
    auto s = plain_settings();
    s.routers_in_zone = in_zone;
    s.routers = in_all;
    return s;
}

// The routers of one zone, each with a seed of its own and nothing else in common than the settings.
std::vector<TestRouter> zone_of(int routers, const Settings& settings,
                                const ServerList& fleet = plain_fleet()) {
    std::vector<TestRouter> zone;
    for (int i = 0; i < routers; ++i) {
        zone.emplace_back(settings, fleet);
        zone.back().router = Router{settings, 1000u + static_cast<unsigned>(i)};
        zone.back().notify(fleet);
    }
    return zone;
}

Settings cold_settings() {
    auto s = shared_settings(9, 100);
    s.server_weights = ServerWeights::nominal;
    s.slow_start_share = 0.26;
    s.slow_start_duration = 14s;
    s.overload_multiple = 2;
    s.overload_window = 3s;
    return s;
}

// The object's home refuses two connections; whoever is asked instead answers. Which home that is.
std::string refuse_twice(TestRouter& g, std::uint64_t object) {
    std::string lost;
    for (int i = 0; i < 2; ++i) {
        const auto id = g.request(object);
        if (lost.empty())
            lost = g.target();
        EXPECT_EQ(g.target(), lost);
        g.end(id, AttemptStatus::connect_failed);
        if (g.find<Send>())
            g.end(id, AttemptStatus::success, CacheStatus::hit, 1);
    }
    return lost;
}

// The fills that many routers have under way together; each takes as long.
class Fills {
public:
    Fills(Span took, CacheStatus cache_status) : took_(took), note_(cache_status) {}
    std::size_t under_way() const {
        return out_.size();
    }
    void began(std::size_t router, const TestRouter& g, RequestId id) {
        out_.push_back({router, id, g.now + took_});
    }
    // Tells this router of those of its own that are through.
    void end_due(std::size_t router, TestRouter& g) {
        std::erase_if(out_, [&](const Out& o) {
            if (o.router != router || o.ends > g.now)
                return false;
            g.notify(Outcome{.request = o.id,
                             .attempt_status = AttemptStatus::success,
                             .duration = took_,
                             .request_completed = true,
                             .cache_status = note_});
            return true;
        });
    }

private:
    struct Out {
        std::size_t router;
        RequestId id;
        Time ends;
    };
    Span took_;
    CacheStatus note_;
    std::vector<Out> out_;
};

// An object that ten routers are asked for once each is wanted: nine of ten must not pass it unkept.
TEST(SharedZone, AFirstRequestIsNotStoredOnlyAsOftenAsItIsTheZonesFirst) {
    constexpr int kObjects = 300;
    auto zone = zone_of(10, shared_settings(10, 100));
    int unkept = 0;
    int never_kept = 0;
    for (std::uint64_t object = 1; object <= kObjects; ++object) {
        int here = 0;
        for (auto& g : zone)
            here += g.serve(object, CacheStatus::filled)->fill->retention == RetentionPriority::no_store;
        unkept += here;
        never_kept += here == 10;
    }
    EXPECT_NEAR(unkept, kObjects * 10 / 9, 5 * std::sqrt(kObjects));  // one router in nine
    EXPECT_EQ(never_kept, 0);
}

TEST(SharedZone, OneOrTwoRoutersInAZoneStoreNoFirstRequest) {
    for (const int in_zone : {1, 2})
        for (auto& g : zone_of(in_zone, shared_settings(in_zone, 4)))
            for (std::uint64_t object = 1; object <= 100; ++object)
                EXPECT_EQ(g.serve(object, CacheStatus::filled)->fill->retention, RetentionPriority::no_store);
}

// With little traffic no other parent answers within the time that a refusal takes: it is proof by itself.
TEST(ThinTraffic, ASourceThatRefusesIsSkippedFromTheNextRequestOn) {
    TestRouter g;
    const auto id = g.request(9);
    const auto dead = g.source();
    g.end(id, AttemptStatus::overloaded, CacheStatus::source_unreachable);
    EXPECT_NE(g.source(), dead);
    g.end(id, AttemptStatus::success, CacheStatus::filled, 1);
    for (std::uint64_t object = 1; object < 20; ++object) {
        const auto next = g.serve(object, CacheStatus::filled);
        EXPECT_NE(next->fill->source.address, dead);
    }
    g.pass(2s);
    g.request(9);
    EXPECT_EQ(g.source(), dead);  // its trial
}

// A parent whose fills come late is not given those of one that is down while the origin is quicker.
TEST(ThinTraffic, FillsOfALostParentDoNotCrowdTheNext) {
    TestRouter g;
    std::vector<std::uint64_t> of_first;
    std::string slow;
    for (std::uint64_t object = 1; of_first.size() < 5; ++object) {
        const auto id = g.request(object);
        if (slow.empty())
            slow = g.source();
        if (g.source() != slow)
            of_first.push_back(object);
        g.notify(Outcome{.request = id,
                         .attempt_status = AttemptStatus::success,
                         .duration = g.source() == slow ? Span{1s} : Span{50ms},
                         .request_completed = true,
                         .cache_status = CacheStatus::filled});
        g.pass(50ms);
    }
    TestRouter calm;
    for (auto* each : {&g, &calm})
        each->change(slow == "p1" ? "p2" : "p1", Condition::draining);
    for (const auto object : of_first) {
        g.request(object);
        EXPECT_EQ(g.source(), "origin");
        g.end(RequestId{g.ids}, AttemptStatus::success, CacheStatus::filled_from_origin);
        calm.request(object);
        EXPECT_EQ(calm.source(), slow);
        calm.end(RequestId{calm.ids}, AttemptStatus::success, CacheStatus::filled);
    }
}

// All parents gone: what a hundred routers fetch at the origin at any time is about the fleet's share of it,
// not one for each; and the same seeds do the same again.
TEST(ThinTraffic, AShareOfTheOriginUnderOneFetchIsAShareOfTime) {
    auto settings = shared_settings(9, 100);
    settings.server_weights = ServerWeights::nominal;
    const auto fleet = plain_fleet(1, 0);  // the link is taken as four answers wide: 0.75 x 11 of them in all
    std::vector<double> means;
    for (int again = 0; again < 2; ++again) {
        auto all = zone_of(100, settings, fleet);
        Fills fills{200ms, CacheStatus::filled_from_origin};
        double sum = 0;
        int looks = 0;
        std::uint64_t object = 0;
        for (int tick = 0; tick < 500; ++tick) {
            for (std::size_t i = 0; i < all.size(); ++i) {
                TestRouter& g = all[i];
                g.pass(10ms);
                fills.end_due(i, g);
                if (tick % 10 != static_cast<int>(i % 10))
                    continue;
                const auto id = g.request(++object);
                if (g.source() == "origin")
                    fills.began(i, g, id);
                else if (g.find<Send>())
                    g.end(id, AttemptStatus::miss);
            }
            if (tick < 100)
                continue;  // the first fetch of each is free
            sum += static_cast<double>(fills.under_way());
            ++looks;
        }
        means.push_back(sum / looks);
    }
    EXPECT_GT(means[0], 15);
    EXPECT_LT(means[0], 45);
    EXPECT_EQ(means[0], means[1]);
}

// A hundred lose the same cache in the same instant: their trials of it come spread over time, the same each
// run.
TEST(InStep, EjectionsEndAtDifferentTimes) {
    std::vector<std::vector<int>> runs;
    for (int again = 0; again < 2; ++again) {
        std::vector<int> back;  // in steps of 10 ms
        for (auto& g : zone_of(100, shared_settings(100, 100))) {
            const std::string lost = refuse_twice(g, 1);
            int step = 0;
            for (; step < 200; ++step) {
                g.request(1);
                if (g.target() == lost)
                    break;
                g.end(RequestId{g.ids}, AttemptStatus::success, CacheStatus::hit);
                g.pass(10ms);
            }
            back.push_back(step);
        }
        const auto [first, last] = std::minmax_element(back.begin(), back.end());
        EXPECT_GE(*first, 74);  // three quarters of a second at least, one second at most
        EXPECT_LE(*last, 101);
        EXPECT_GE(*last - *first, 15);
        for (const int step : back)
            EXPECT_LT(std::count(back.begin(), back.end(), step), 20);
        runs.push_back(back);
    }
    EXPECT_EQ(runs[0], runs[1]);
}

// Nine routers told of one new server at once: what all send it in any window stays under what tips it.
TEST(InStep, ANewServerIsNotOverloadedByAllRoutersTogether) {
    auto zone = zone_of(9, cold_settings());
    for (auto& g : zone)
        g.restart("c1", g.now);
    const double work = 0.05;  // seconds of sending, as the answers take
    double sent = 0;
    std::uint64_t object = 0;
    for (int tick = 0; tick < 300; ++tick)  // 3 s
        for (auto& g : zone) {
            for (int i = 0; i < 2; ++i) {
                g.request(++object);
                if (g.target() == "c1")
                    sent += work;
                g.end(RequestId{g.ids}, AttemptStatus::success, CacheStatus::hit);
            }
            g.pass(10ms);
        }
    EXPECT_GT(sent, 0);
    EXPECT_LT(sent, 2 * 8 * 0.26 * 3);  // multiple x weight x share at the start x window
}

// A lost home's objects go to all the others, by each object's own order, and every router to the same.
TEST(InStep, ALostServersObjectsSpreadOverTheOthers) {
    auto zone = zone_of(20, shared_settings(20, 100), plain_fleet(5));
    std::map<std::string, int> taken;
    for (std::uint64_t object = 1; object <= 400; ++object) {
        std::set<std::string> before;
        std::set<std::string> after;
        for (auto& g : zone) {
            g.change("c1", Condition::ready);
            before.insert(g.serve(object)->target.address);
            g.change("c1", Condition::draining);
            after.insert(g.serve(object)->target.address);
        }
        ASSERT_EQ(before.size(), 1u);
        ASSERT_EQ(after.size(), 1u);
        if (*before.begin() == "c1")
            ++taken[*after.begin()];
    }
    EXPECT_EQ(taken.size(), 4u);
    for (const auto& [cache, count] : taken)
        EXPECT_GE(count, 8) << cache;
}

// A server that refuses connections but answers what is out has a full table; one that comes back later is
// cold.
TEST(ThinTraffic, AFullTableIsNotADeadServer) {
    int sent[2] = {};
    for (const bool full : {false, true}) {
        TestRouter g{cold_settings(), plain_fleet(2)};
        const auto open = g.request(1);
        const auto home = g.target();
        g.pass(10ms);
        ASSERT_EQ(refuse_twice(g, 1), home);
        if (full) {
            g.end(open, AttemptStatus::success, CacheStatus::hit);
        } else {
            g.end(open, AttemptStatus::reset);
            if (g.find<Send>())
                g.end(open, AttemptStatus::success, CacheStatus::hit, 1);
            g.pass(3s);
            EXPECT_EQ(g.serve(1)->target.address, home);  // the trial
        }
        for (int i = 0; i < 40; ++i) {
            const auto id = g.request(1);
            sent[full] += g.target() == home;
            g.end(id, AttemptStatus::success, CacheStatus::filled);
        }
    }
    EXPECT_EQ(sent[true], 40);
    EXPECT_LT(sent[false], 20);
}

// All groups purged: every request is a miss at once. Fills that come late close the way until what all of
// the zone's routers have out together is what small fills may take of its link: twice what it carries at
// top pace.
TEST(InStep, AfterAPurgeOfAllGroupsAllFillsTogetherKeepToTheLink) {
    auto settings = shared_settings(9, 100);
    settings.max_response_kb_per_s = 1000;
    settings.zone_link_kb_per_s = 11000;  // eleven answers at top pace
    auto zone = zone_of(9, settings);
    for (auto& g : zone)
        for (std::uint64_t group = 0; group < 32; ++group)
            g.notify(Purge{.group = GroupId{group}});
    Fills fills{900ms, CacheStatus::filled};
    std::size_t most_late = 0;
    std::uint64_t object = 0;
    for (int tick = 0; tick < 600; ++tick) {  // 6 s
        for (std::size_t i = 0; i < zone.size(); ++i) {
            TestRouter& g = zone[i];
            g.pass(10ms);
            fills.end_due(i, g);
            if (tick % 10 != static_cast<int>(i))
                continue;
            ++object;
            const auto id = g.request(object, 0, 4s, GroupId{object % 32});
            if (!g.find<Send>())
                continue;
            EXPECT_GT(g.find<Send>()->fill->max_age, Span{});  // no copy from before the purge
            if (g.source()[0] == 'p')
                fills.began(i, g, id);
            else
                g.end(id, AttemptStatus::miss);
        }
        if (tick >= 300)
            most_late = std::max(most_late, fills.under_way());
    }
    EXPECT_GT(most_late, 0u);
    EXPECT_LE(most_late, 22u);
}

}  // namespace
}  // namespace silverrail::routing::testing

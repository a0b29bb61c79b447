// The design's mechanism, seen through the ranks that the Router gives and the sizes it reports.
#include <set>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

RetentionPriority rank_of(const std::optional<Send>& send) {
    return send && send->fill ? send->fill->retention : RetentionPriority::no_store;
}

// Fills the tracker with one-off objects numbered from `first` until it holds K.
void fill_tracker(TestRouter& g, std::uint64_t first) {
    for (std::uint64_t i = first; g.router.sizes().tracked < g.router.sizes().tracker_capacity; ++i)
        g.serve(i);
}

TEST(Tracker, AFirstRequestIsNotStored) {
    TestRouter g;
    EXPECT_EQ(rank_of(g.serve(1)), RetentionPriority::no_store);
    EXPECT_EQ(rank_of(g.serve(1)),
              RetentionPriority::highest);  // among the C hottest: there are no others yet
}

TEST(Tracker, TheHottestAreKeptAtTheHighestPriorityOthersAtTheLowest) {
    TestRouter g;
    const auto c = g.router.sizes().hot_capacity;
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 1; i <= c; ++i)
            g.serve(i);                                            // hotness 3 each: they fill S_c, h_min = 3
    g.serve(1000);                                                 // 1
    EXPECT_EQ(rank_of(g.serve(1000)), RetentionPriority::lowest);  // 2 < h_min
    g.serve(1000);                                                 // 3 = h_min, not above
    EXPECT_EQ(rank_of(g.serve(1000)), RetentionPriority::highest);  // 4 > h_min
    EXPECT_EQ(g.router.sizes().hot, c);
}

TEST(Tracker, ANewcomerReplacesTheColdestAndInheritsItsHotness) {
    TestRouter g;
    const auto sizes = g.router.sizes();
    // S_c is filled with objects of hotness 4; the coldest of the rest has 3 after three rounds.
    for (int round = 0; round < 4; ++round)
        for (std::uint64_t i = 1; i <= sizes.hot_capacity; ++i)
            g.serve(i);
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 10000; i < 10000 + sizes.tracker_capacity - sizes.hot_capacity; ++i)
            g.serve(i);
    ASSERT_EQ(g.router.sizes().tracked, g.router.sizes().tracker_capacity);
    EXPECT_EQ(rank_of(g.serve(77777)),
              RetentionPriority::no_store);  // inherits 3, now 4: not above h_min = 4
    EXPECT_EQ(rank_of(g.serve(77777)),
              RetentionPriority::highest);  // 5 > 4: without inheritance it would have 2
    EXPECT_EQ(g.router.sizes().tracked, g.router.sizes().tracker_capacity);
}

TEST(Tracker, APurgeCountsAsAnUpdate) {
    TestRouter g;
    const auto c = g.router.sizes().hot_capacity;
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 1; i <= c + 1; ++i)
            g.serve(i);
    for (int i = 0; i < 3; ++i)
        g.notify(Purge{.object = ObjectId{1}});                 // 3 reads - 3 purges = 0
    EXPECT_EQ(rank_of(g.serve(1)), RetentionPriority::lowest);  // 1, under h_min = 3
    g.serve(c + 1);
    EXPECT_EQ(rank_of(g.serve(c + 1)), RetentionPriority::highest);
}

TEST(Tracker, AClientsMarkedRetryDoesNotCount) {
    TestRouter g;
    for (int i = 0; i < 5; ++i)
        g.notify(Request{.id = RequestId{900u + static_cast<unsigned>(i)},
                         .object = ObjectId{5},
                         .deadline = g.now + 4s,
                         .is_retry = true});
    EXPECT_EQ(g.router.sizes().tracked, 0u);
}

TEST(Tracker, UncachedClassesAreNotTracked) {
    TestRouter g;
    g.request(5, 1);
    EXPECT_EQ(g.router.sizes().tracked, 0u);
    EXPECT_EQ(g.target(), "origin");
}

// One fill at one of two parents: (n + 1) / (0 + 1) > I_t; kept objects get more requests than the rest.
TEST(Resizing, AnImbalanceAtTheParentsDoublesBoth) {
    TestRouter g;
    const auto before = g.router.sizes();
    for (int i = 0; i < 10; ++i)
        g.serve(1, CacheStatus::filled);
    EXPECT_EQ(g.router.sizes().hot_capacity, before.hot_capacity);
    g.pass(11s);  // the epoch's time bound
    g.serve(1, CacheStatus::filled);
    EXPECT_EQ(g.router.sizes().hot_capacity, 2 * before.hot_capacity);
    EXPECT_EQ(g.router.sizes().tracker_capacity, 2 * before.tracker_capacity);
}

TEST(Resizing, HitsAreNotFillsAndBalanceKeepsTheSizes) {
    TestRouter g;
    const auto before = g.router.sizes();
    for (int i = 0; i < 10; ++i)
        g.serve(1, CacheStatus::hit);  // I_c = (0 + 1) / (0 + 1)
    g.pass(11s);
    g.serve(1);
    EXPECT_EQ(g.router.sizes().hot_capacity, before.hot_capacity);
}

TEST(Resizing, AnEpochAlsoEndsByCount) {
    TestRouter g;
    const auto before = g.router.sizes();
    for (std::size_t i = 0; i < before.tracker_capacity; ++i)
        g.serve(1, CacheStatus::filled);  // E = K requests
    EXPECT_EQ(g.router.sizes().hot_capacity, 2 * before.hot_capacity);
}

TEST(Resizing, StopsAtACapWithKAtLeastTwiceC) {
    TestRouter g;
    for (int epoch = 0; epoch < 20; ++epoch) {
        for (int i = 0; i < 10; ++i)
            g.serve(1, CacheStatus::filled);
        g.pass(11s);
    }
    const auto sizes = g.router.sizes();
    EXPECT_GE(sizes.tracker_capacity, 2 * sizes.hot_capacity);
    g.pass(11s);
    g.serve(1, CacheStatus::filled);
    EXPECT_EQ(g.router.sizes().tracker_capacity, sizes.tracker_capacity);
}

// alpha_t was set by an epoch of ten requests to one kept object; a balanced epoch in which both alphas
// fall below (1 - epsilon) alpha_t halves C and K; K never falls below its start.
TEST(Resizing, WhenBothAlphasFallBothHalve) {
    TestRouter g;
    const auto start = g.router.sizes();
    for (int i = 0; i < 10; ++i)
        g.serve(1, CacheStatus::filled);
    g.pass(11s);
    g.serve(1);  // ends the epoch: doubled, alpha_t = 10
    ASSERT_EQ(g.router.sizes().hot_capacity, 2 * start.hot_capacity);
    g.serve(1);
    g.pass(11s);
    g.serve(1);  // 2 requests for the one kept object
    EXPECT_EQ(g.router.sizes().hot_capacity, start.hot_capacity);
    EXPECT_EQ(g.router.sizes().tracker_capacity, start.tracker_capacity);
    for (int i = 0; i < 3; ++i) {
        g.pass(11s);
        g.serve(1);
    }
    EXPECT_EQ(g.router.sizes().tracker_capacity, start.tracker_capacity);
    EXPECT_LT(g.router.sizes().hot_capacity, start.hot_capacity);
}

// Only alpha_c falls: all hotness halves, so that a new favourite needs half as many requests.
TEST(Resizing, WhenOnlyTheHotOnesFallAllHotnessHalves) {
    TestRouter g;
    for (int i = 0; i < 10; ++i)
        g.serve(1, CacheStatus::filled);
    g.pass(11s);
    g.serve(1);  // doubled; alpha_t = 9 (the first of the ten found it untracked)
    const auto c = g.router.sizes().hot_capacity;
    for (int round = 0; round < 10; ++round)
        for (std::uint64_t i = 1; i <= c; ++i)
            g.serve(i);
    g.pass(11s);
    g.serve(1);  // alpha_c is 9 and more: nothing changes; all of S_c have 10 or more
    ASSERT_EQ(g.router.sizes().hot_capacity, c);
    // The next epoch asks for one tracked-only object: alpha_c near 0, alpha_{k-c} = 9.
    for (int i = 0; i < 9; ++i)
        g.serve(5000);
    g.pass(11s);
    EXPECT_EQ(rank_of(g.serve(5000)),
              RetentionPriority::lowest);  // 10, not above h_min = 10; then halved to 5
    EXPECT_EQ(rank_of(g.serve(5000)), RetentionPriority::highest);  // 6 > 5
    EXPECT_EQ(g.router.sizes().hot_capacity, c);
}

TEST(Tracker, AScanOfOneOffObjectsNeverGrowsIt) {
    TestRouter g;
    fill_tracker(g, 1);
    const auto full = g.router.sizes();
    for (std::uint64_t i = 0; i < 100; ++i)
        EXPECT_EQ(rank_of(g.serve(1000000 + i)), RetentionPriority::no_store);
    EXPECT_EQ(g.router.sizes().tracked, full.tracked);
}

TEST(FillSource, AnObjectsServersDoNotDependOnTheRouter) {
    auto other = plain_settings();
    other.routers = 5;
    TestRouter a;
    TestRouter b{other};
    std::set<std::string> parents;
    for (std::uint64_t object = 1; object < 60; ++object) {
        const auto one = a.serve(object);
        const auto two = b.serve(object);
        ASSERT_TRUE(one && two);
        EXPECT_EQ(one->target, two->target);
        EXPECT_EQ(one->fill->source, two->fill->source);
        parents.insert(one->fill->source.address);
    }
    EXPECT_EQ(parents.size(), 2u);
}

TEST(FillSource, TheNextParentThenTheOriginWhenSourcesFail) {
    TestRouter g;
    const auto id = g.request(9);
    const auto first = g.source();
    g.end(id, AttemptStatus::miss, CacheStatus::source_unreachable);
    const auto second = g.source();
    EXPECT_NE(first, second);
    EXPECT_EQ(second[0], 'p');
    g.end(id, AttemptStatus::miss, CacheStatus::source_unreachable, 1);
    EXPECT_EQ(g.source(), "origin");
}

}  // namespace
}  // namespace silverrail::routing::testing

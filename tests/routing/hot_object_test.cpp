// Tests the hot object tracker through the retention priorities and sizes that the Router returns. C is the
// capacity of the hot set S_c, K that of the tracker, h_min the least hotness in S_c, alpha_c and
// alpha_{k-c} the hits per object in and outside S_c, alpha_t the target for alpha_c, I_c the measured
// imbalance, and E the number of requests in an epoch.
#include <set>

#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

RetentionPriority priority_of(const std::optional<Send>& send) {
    return send && send->fill ? send->fill->retention : RetentionPriority::no_store;
}

// Requests new objects with ids from `first` on until the tracker is full.
void fill_tracker(TestRouter& router, std::uint64_t first) {
    for (std::uint64_t i = first; router.instance.sizes().tracked < router.instance.sizes().tracker_capacity;
         ++i)
        router.serve(i);
}

TEST(HotObjectTracker, FirstRequestIsNotStored) {
    TestRouter router;
    EXPECT_EQ(priority_of(router.serve(1)), RetentionPriority::no_store);
    EXPECT_EQ(priority_of(router.serve(1)),
              RetentionPriority::highest);  // among the C hottest, as there are no other objects
}

TEST(HotObjectTracker, HotObjectsGetHighestRetentionPriorityOthersLowest) {
    TestRouter router;
    const auto c = router.instance.sizes().hot_capacity;
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 1; i <= c; ++i)
            // Hotness 3 each: S_c is full, h_min = 3.
            router.serve(i);
    router.serve(1000);                                                      // 1
    EXPECT_EQ(priority_of(router.serve(1000)), RetentionPriority::lowest);   // 2 < h_min
    router.serve(1000);                                                      // 3 = h_min, not above
    EXPECT_EQ(priority_of(router.serve(1000)), RetentionPriority::highest);  // 4 > h_min
    EXPECT_EQ(router.instance.sizes().hot, c);
}

TEST(HotObjectTracker, NewObjectReplacesColdestAndInheritsItsHotness) {
    TestRouter router;
    const auto sizes = router.instance.sizes();
    // S_c is full of objects of hotness 4. The coldest tracked object has hotness 3.
    for (int round = 0; round < 4; ++round)
        for (std::uint64_t i = 1; i <= sizes.hot_capacity; ++i)
            router.serve(i);
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 10000; i < 10000 + sizes.tracker_capacity - sizes.hot_capacity; ++i)
            router.serve(i);
    ASSERT_EQ(router.instance.sizes().tracked, router.instance.sizes().tracker_capacity);
    EXPECT_EQ(priority_of(router.serve(77777)),
              RetentionPriority::no_store);  // inherits 3 and has 4, not above h_min = 4
    EXPECT_EQ(priority_of(router.serve(77777)),
              RetentionPriority::highest);  // 5 > 4; without inheritance it would have 2
    EXPECT_EQ(router.instance.sizes().tracked, router.instance.sizes().tracker_capacity);
}

TEST(HotObjectTracker, PurgeCountsAsUpdate) {
    TestRouter router;
    const auto c = router.instance.sizes().hot_capacity;
    for (int round = 0; round < 3; ++round)
        for (std::uint64_t i = 1; i <= c + 1; ++i)
            router.serve(i);
    for (int i = 0; i < 3; ++i)
        router.handle(Purge{.object = ObjectId{1}});                     // 3 reads - 3 purges = 0
    EXPECT_EQ(priority_of(router.serve(1)), RetentionPriority::lowest);  // 1, below h_min = 3
    router.serve(c + 1);
    EXPECT_EQ(priority_of(router.serve(c + 1)), RetentionPriority::highest);
}

TEST(HotObjectTracker, ClientRetriesAreNotCounted) {
    TestRouter router;
    for (int i = 0; i < 5; ++i)
        router.handle(Request{.id = RequestId{900u + static_cast<unsigned>(i)},
                              .object = ObjectId{5},
                              .deadline = router.now + 4s,
                              .is_retry = true});
    EXPECT_EQ(router.instance.sizes().tracked, 0u);
}

TEST(HotObjectTracker, UncachedClassesAreNotTracked) {
    TestRouter router;
    router.request(5, 1);
    EXPECT_EQ(router.instance.sizes().tracked, 0u);
    EXPECT_EQ(router.target(), "origin");
}

// All fills are at one of two parents: (n + 1) / (0 + 1) exceeds the target imbalance I_t, and the hot
// objects get more requests than the others.
TEST(HotObjectResizing, ParentImbalanceDoublesBothSizes) {
    TestRouter router;
    const auto before = router.instance.sizes();
    for (int i = 0; i < 10; ++i)
        router.serve(1, CacheStatus::filled);
    EXPECT_EQ(router.instance.sizes().hot_capacity, before.hot_capacity);
    router.advance(11s);  // maximum duration of an epoch is 10 s
    router.serve(1, CacheStatus::filled);
    EXPECT_EQ(router.instance.sizes().hot_capacity, 2 * before.hot_capacity);
    EXPECT_EQ(router.instance.sizes().tracker_capacity, 2 * before.tracker_capacity);
}

TEST(HotObjectResizing, HitsDoNotCountAsFillsAndBalanceKeepsSizes) {
    TestRouter router;
    const auto before = router.instance.sizes();
    for (int i = 0; i < 10; ++i)
        router.serve(1, CacheStatus::hit);  // I_c = (0 + 1) / (0 + 1)
    router.advance(11s);
    router.serve(1);
    EXPECT_EQ(router.instance.sizes().hot_capacity, before.hot_capacity);
}

TEST(HotObjectResizing, EpochAlsoEndsByRequestCount) {
    TestRouter router;
    const auto before = router.instance.sizes();
    for (std::size_t i = 0; i < before.tracker_capacity; ++i)
        router.serve(1, CacheStatus::filled);  // E = K requests
    EXPECT_EQ(router.instance.sizes().hot_capacity, 2 * before.hot_capacity);
}

TEST(HotObjectResizing, GrowthIsCappedWithTrackerAtLeastTwiceTheHotSet) {
    TestRouter router;
    for (int epoch = 0; epoch < 20; ++epoch) {
        for (int i = 0; i < 10; ++i)
            router.serve(1, CacheStatus::filled);
        router.advance(11s);
    }
    const auto sizes = router.instance.sizes();
    EXPECT_GE(sizes.tracker_capacity, 2 * sizes.hot_capacity);
    router.advance(11s);
    router.serve(1, CacheStatus::filled);
    EXPECT_EQ(router.instance.sizes().tracker_capacity, sizes.tracker_capacity);
}

// alpha_t is set by an epoch of ten requests for one hot object. A balanced epoch in which both alphas fall
// below (1 - epsilon) alpha_t halves C and K, but K never falls below its initial value.
TEST(HotObjectResizing, BothSizesHalveWhenBothAlphasFall) {
    TestRouter router;
    const auto start = router.instance.sizes();
    for (int i = 0; i < 10; ++i)
        router.serve(1, CacheStatus::filled);
    router.advance(11s);
    router.serve(1);  // ends the epoch: doubled, alpha_t = 10
    ASSERT_EQ(router.instance.sizes().hot_capacity, 2 * start.hot_capacity);
    router.serve(1);
    router.advance(11s);
    router.serve(1);  // 2 requests for the one hot object
    EXPECT_EQ(router.instance.sizes().hot_capacity, start.hot_capacity);
    EXPECT_EQ(router.instance.sizes().tracker_capacity, start.tracker_capacity);
    for (int i = 0; i < 3; ++i) {
        router.advance(11s);
        router.serve(1);
    }
    EXPECT_EQ(router.instance.sizes().tracker_capacity, start.tracker_capacity);
    EXPECT_LT(router.instance.sizes().hot_capacity, start.hot_capacity);
}

// Only alpha_c falls: the hotness of all objects halves, so that a newly popular object needs half as many
// requests.
TEST(HotObjectResizing, HotnessHalvesWhenOnlyHotAlphaFalls) {
    TestRouter router;
    for (int i = 0; i < 10; ++i)
        router.serve(1, CacheStatus::filled);
    router.advance(11s);
    router.serve(1);  // doubled; alpha_t = 9 (the first of ten requests found the object untracked)
    const auto c = router.instance.sizes().hot_capacity;
    for (int round = 0; round < 10; ++round)
        for (std::uint64_t i = 1; i <= c; ++i)
            router.serve(i);
    router.advance(11s);
    router.serve(1);  // alpha_c is at least 9: nothing changes; all objects of S_c have at least 10
    ASSERT_EQ(router.instance.sizes().hot_capacity, c);
    // The next epoch only requests one object outside S_c: alpha_c near 0, alpha_{k-c} = 9.
    for (int i = 0; i < 9; ++i)
        router.serve(5000);
    router.advance(11s);
    EXPECT_EQ(priority_of(router.serve(5000)),
              RetentionPriority::lowest);  // 10, not above h_min = 10; then halved to 5
    EXPECT_EQ(priority_of(router.serve(5000)), RetentionPriority::highest);  // 6 > 5
    EXPECT_EQ(router.instance.sizes().hot_capacity, c);
}

TEST(HotObjectTracker, ScanOfObjectsRequestedOnceDoesNotGrowIt) {
    TestRouter router;
    fill_tracker(router, 1);
    const auto full = router.instance.sizes();
    for (std::uint64_t i = 0; i < 100; ++i)
        EXPECT_EQ(priority_of(router.serve(1000000 + i)), RetentionPriority::no_store);
    EXPECT_EQ(router.instance.sizes().tracked, full.tracked);
}

TEST(FillSource, ServersOfAnObjectAreTheSameOnAllRouters) {
    auto other = default_settings();
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

TEST(FillSource, FallsBackToNextParentThenOrigin) {
    TestRouter router;
    const auto id = router.request(9);
    const auto first = router.source();
    router.end_attempt(id, AttemptStatus::miss, CacheStatus::source_unreachable);
    const auto second = router.source();
    EXPECT_NE(first, second);
    EXPECT_EQ(second[0], 'p');
    router.end_attempt(id, AttemptStatus::miss, CacheStatus::source_unreachable, 1);
    EXPECT_EQ(router.source(), "origin");
}

}  // namespace
}  // namespace silverrail::routing::testing

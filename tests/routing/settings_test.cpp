// Odd settings: whatever is absent or strange, each request gets one answer and no rule is broken.
#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

// Plays requests of every class against the router, each attempt ending as `ending`, and counts answers.
void expect_all_answered(Settings settings, const ServerList& fleet, const std::string& what) {
    constexpr std::array endings{AttemptStatus::success,        AttemptStatus::error,
                                 AttemptStatus::overloaded,     AttemptStatus::timeout,
                                 AttemptStatus::connect_failed, AttemptStatus::reset,
                                 AttemptStatus::not_sent,       AttemptStatus::miss};
    const auto classes = settings.classes.size();
    const int limit = settings.max_attempts;
    TestRouter g{std::move(settings), fleet};
    for (std::uint64_t i = 0; i < 400; ++i) {
        const auto attempt_status = endings[i % endings.size()];
        const auto id = g.request(i % 50, i % classes, 100ms);
        int sends = 0;
        while (const auto send = g.find<Send>()) {
            ++sends;
            ASSERT_EQ(send->request, id) << what;
            g.pass(7ms);
            g.end(id, attempt_status, CacheStatus::none, static_cast<std::uint32_t>(sends - 1));
            if (attempt_status == AttemptStatus::success)
                break;
        }
        ASSERT_LE(sends, limit) << what;
        if (sends == 0 || attempt_status != AttemptStatus::success) {
            EXPECT_TRUE(g.find<Reject>().has_value() != g.find<Fail>().has_value()) << what;
        }
        EXPECT_EQ(g.router.sizes().open_requests, 0u) << what;
    }
}

TEST(OddSettings, EveryRequestIsAnswered) {
    const Settings plain = plain_settings();
    expect_all_answered(plain, plain_fleet(), "plain");
    expect_all_answered(plain, plain_fleet(0, 0, false), "nothing listed");
    expect_all_answered(plain, plain_fleet(0, 1), "zero caches");
    expect_all_answered(plain, plain_fleet(3, 1), "one parent");
    expect_all_answered(plain, plain_fleet(3, 0, false), "no source at all");
    auto odd = plain;
    odd.max_attempts = 1;
    expect_all_answered(odd, plain_fleet(), "one attempt");
    odd = plain;
    odd.cancellation_supported = false;
    expect_all_answered(odd, plain_fleet(), "no cancelling");
    odd = plain;
    odd.outcome_detail = OutcomeDetail::off;
    expect_all_answered(odd, plain_fleet(), "no detail");
    odd = plain;
    odd.routers = odd.routers_in_zone = 0;
    expect_all_answered(odd, plain_fleet(), "no count of gateways");
    odd = plain;
    odd.parent_kind.clear();
    odd.origin_kind.clear();
    expect_all_answered(odd, plain_fleet(), "no kinds");
    odd = plain;
    for (auto& c : odd.classes)
        c.latency_objective = c.client_timeout = 1ns;
    expect_all_answered(odd, plain_fleet(), "very short times");
    odd = plain;
    odd.server_weights = ServerWeights::nominal;
    auto fleet = plain_fleet();
    for (auto& c : fleet.servers)
        c.weight = 0;
    expect_all_answered(odd, fleet, "no sizes");
    for (auto& c : fleet.servers)
        c.started_at = Time{100s};
    expect_all_answered(odd, fleet, "all just started, no figures for it");
}

TEST(OddSettings, WithoutCancellationATimeoutLetsARetryStart) {
    auto settings = plain_settings();
    settings.cancellation_supported = false;
    settings.max_response_kb_per_s = 1000;
    settings.classes[0].objective_transfer_factor = 1.5;
    for (const double size_kb : {200.0, 2000.0, 0.0}) {
        TestRouter g{settings};
        g.notify(Request{.id = RequestId{1},
                         .class_index = 0,
                         .object = ObjectId{1},
                         .size_kb = size_kb,
                         .deadline = g.now + 9s});
        // At the object's own aim; one of untold size may be far larger than the mean, which stands at the
        // aim yet.
        const Span latency_objective = 400ms + (size_kb > 0 ? 1500us * static_cast<int>(size_kb) : 600ms);
        EXPECT_EQ(g.find<Send>()->timeout, (size_kb > 0 ? 1 : 3) * latency_objective) << size_kb;
        EXPECT_FALSE(g.find<SetTimer>());
    }
}

}  // namespace
}  // namespace silverrail::routing::testing

// Unusual settings: whatever is missing or extreme, each request gets one final response and attempts stay
// limited.
#include "router_fixture.h"

namespace silverrail::routing::testing {
namespace {

// Sends requests of every class whose attempts end with each status in turn, and checks that each request
// gets exactly one final response.
void expect_one_final_response(Settings settings, const ServerList& server_list, const std::string& what) {
    constexpr std::array attempt_statuses{AttemptStatus::success,        AttemptStatus::error,
                                          AttemptStatus::overloaded,     AttemptStatus::timeout,
                                          AttemptStatus::connect_failed, AttemptStatus::reset,
                                          AttemptStatus::not_sent,       AttemptStatus::miss};
    const auto classes = settings.classes.size();
    const int max_attempts = settings.max_attempts;
    TestRouter router{std::move(settings), server_list};
    for (std::uint64_t i = 0; i < 400; ++i) {
        const auto attempt_status = attempt_statuses[i % attempt_statuses.size()];
        const auto id = router.request(i % 50, i % classes, 100ms);
        int sends = 0;
        while (const auto send = router.find_action<Send>()) {
            ++sends;
            ASSERT_EQ(send->request, id) << what;
            router.advance(7ms);
            router.end_attempt(id, attempt_status, CacheStatus::none, static_cast<std::uint32_t>(sends - 1));
            if (attempt_status == AttemptStatus::success)
                break;
        }
        ASSERT_LE(sends, max_attempts) << what;
        if (sends == 0 || attempt_status != AttemptStatus::success) {
            EXPECT_TRUE(router.find_action<Reject>().has_value() != router.find_action<Fail>().has_value())
                << what;
        }
        EXPECT_EQ(router.instance.sizes().open_requests, 0u) << what;
    }
}

TEST(UnusualSettings, EveryRequestGetsAFinalResponse) {
    const Settings defaults = default_settings();
    expect_one_final_response(defaults, default_servers(), "defaults");
    expect_one_final_response(defaults, default_servers(0, 0, false), "empty server list");
    expect_one_final_response(defaults, default_servers(0, 1), "no caches");
    expect_one_final_response(defaults, default_servers(3, 1), "one parent");
    expect_one_final_response(defaults, default_servers(3, 0, false), "no source at all");
    auto settings = defaults;
    settings.max_attempts = 1;
    expect_one_final_response(settings, default_servers(), "one attempt");
    settings = defaults;
    settings.cancellation_supported = false;
    expect_one_final_response(settings, default_servers(), "no cancellation");
    settings = defaults;
    settings.outcome_detail = OutcomeDetail::off;
    expect_one_final_response(settings, default_servers(), "no cache status");
    settings = defaults;
    settings.routers = settings.routers_in_zone = 0;
    expect_one_final_response(settings, default_servers(), "unknown number of routers");
    settings = defaults;
    settings.parent_kind.clear();
    settings.origin_kind.clear();
    expect_one_final_response(settings, default_servers(), "no server kinds");
    settings = defaults;
    for (auto& c : settings.classes)
        c.latency_objective = c.client_timeout = 1ns;
    expect_one_final_response(settings, default_servers(), "1 ns objective and timeout");
    settings = defaults;
    settings.server_weights = ServerWeights::nominal;
    auto server_list = default_servers();
    for (auto& c : server_list.servers)
        c.weight = 0;
    expect_one_final_response(settings, server_list, "zero weights");
    for (auto& c : server_list.servers)
        c.started_at = Time{100s};
    expect_one_final_response(settings, server_list, "all just started, no slow-start settings");
}

TEST(UnusualSettings, TimeoutAllowsRetryWithoutCancellation) {
    auto settings = default_settings();
    settings.cancellation_supported = false;
    settings.max_response_kb_per_s = 1000;
    settings.classes[0].objective_transfer_factor = 1.5;
    for (const double size_kb : {200.0, 2000.0, 0.0}) {
        TestRouter router{settings};
        router.handle(Request{.id = RequestId{1},
                              .class_index = 0,
                              .object = ObjectId{1},
                              .size_kb = size_kb,
                              .deadline = router.now + 9s});
        // The timeout is the request's own objective. For an unknown size it is three times as long: the
        // object may be far larger than the mean, which is still the initial estimate (the latency
        // objective).
        const Span latency_objective = 400ms + (size_kb > 0 ? 1500us * static_cast<int>(size_kb) : 600ms);
        EXPECT_EQ(router.find_action<Send>()->timeout, (size_kb > 0 ? 1 : 3) * latency_objective) << size_kb;
        EXPECT_FALSE(router.find_action<SetTimer>());
    }
}

}  // namespace
}  // namespace silverrail::routing::testing

// What is derived from records: timelines, selections, summaries, clock offsets, retention, the failure
// trigger.
#include <cmath>
#include <cstdio>

#include "records.h"
#include "trace/model/clock_offset.h"
#include "trace/model/failure_trigger.h"
#include "trace/model/request_summary.h"
#include "trace/model/request_timeline.h"
#include "trace/model/retention.h"
#include "trace/model/selection.h"

using namespace silverrail;
using namespace silverrail::trace::model;

namespace {

constexpr std::int64_t kMs = 1'000'000;
constexpr std::int64_t kSecond = 1'000'000'000;

RequestReceived taken(std::uint64_t request, std::uint64_t trace = 1) {
    RequestReceived t;
    t.request = request;
    t.client_request_number = trace;
    return t;
}
AttemptSent sent(std::uint64_t request, std::uint64_t attempt, const char* server) {
    AttemptSent s;
    s.request = request;
    s.attempt = attempt;
    s.target = server;
    s.fills = true;
    s.fill_source = "hub";
    return s;
}
AttemptEnded ended(std::uint64_t request, std::uint64_t attempt, int attempt_status, int cache_status = 0) {
    AttemptEnded e;
    e.request = request;
    e.attempt = attempt;
    e.attempt_status = static_cast<std::uint8_t>(attempt_status);
    e.cache_status = static_cast<std::uint8_t>(cache_status);
    return e;
}
ResponseSent answered(std::uint64_t request, int kind) {
    ResponseSent a;
    a.request = request;
    a.kind = static_cast<std::uint8_t>(kind);
    return a;
}

// Feeds records of one router to a builder and collects the complete timelines.
struct TimelineFixture {
    std::vector<RequestTimeline> complete;
    TimelineBuilder builder{[this](const RequestTimeline& timeline) {
        complete.push_back(timeline);
    }};

    void add(std::int64_t at, Body body) {
        builder.add({at, 0, std::move(body)}, false);
    }
};

// A request with two attempts, whose response comes before the first attempt ends.
void add_hedged_request(TimelineFixture& f) {
    f.add(100, taken(1));
    f.add(100, sent(1, 0, "a"));
    f.add(150, sent(1, 1, "b"));
    f.add(160, ended(1, 1, 0, 2));
    f.add(160, answered(1, 0));
}

void a_request_is_complete_with_the_end_of_its_last_attempt() {
    TimelineFixture f;
    add_hedged_request(f);
    CHECK(f.complete.empty());
    f.add(170, ended(1, 0, 6));
    CHECK(f.complete.size() == 1);
    const RequestTimeline& timeline = f.complete[0];
    CHECK(timeline.duration() == 60 && timeline.attempts.size() == 2 && timeline.answered());
    CHECK(timeline.attempts[1].target.text() == "b" && timeline.attempts[1].cache_status == 2);
}

void a_request_that_was_not_admitted_has_no_number_and_no_attempts() {
    TimelineFixture f;
    f.add(200, taken(0, 9));
    f.add(201, answered(0, 3));
    CHECK(f.complete.size() == 1 && f.complete[0].not_admitted() && f.complete[0].attempts.empty());
    CHECK(f.complete[0].received.client_request_number == 9);
}

void a_reused_number_ends_the_open_request_of_the_run_before() {
    TimelineFixture f;
    f.add(300, taken(2, 20));
    f.add(400, taken(2, 21));
    f.add(410, answered(2, 4));
    CHECK(f.complete.size() == 2);
    CHECK(f.complete[0].closed_at == kNoTime && f.complete[0].received.client_request_number == 20);
    CHECK(f.complete[1].received.client_request_number == 21 && f.complete[1].response_kind == 4);
}

void a_response_at_the_deadline_is_not_a_closed_client() {
    TimelineFixture f;
    f.add(500, taken(3));
    f.add(500, sent(3, 0, "a"));
    f.add(510, answered(3, 4));
    f.add(510, ClientClosed{3});
    f.add(511, ended(3, 0, 6));
    CHECK(f.complete.size() == 1 && f.complete[0].answered());
}

void incomplete_requests_are_reported_too() {
    TimelineFixture f;
    f.add(600, answered(77, 0));
    f.add(610, taken(5));
    f.builder.finish();
    CHECK(f.complete.size() == 2);
    CHECK(f.complete[0].received_at == kNoTime && f.complete[1].closed_at == kNoTime);
}

void a_selection_matches_by_class_outcome_server_id_and_object() {
    TimelineFixture f;
    add_hedged_request(f);
    f.add(170, ended(1, 0, 6));
    const RequestTimeline& timeline = f.complete.at(0);
    Selection all;
    CHECK(all.selects_all() && all.matches(timeline, "pages"));
    const struct {
        Selection selection;
        bool matches;
    } kCases[] = {
        {{.classes = {"pages"}}, true},
        {{.classes = {"lodge"}}, false},
        {{.outcomes = {"served"}}, true},
        {{.outcomes = {"refused", "cancelled"}}, true},
        {{.outcomes = {"failed"}}, false},
        {{.servers = {"b"}}, true},
        {{.servers = {"hub"}}, true},
        {{.servers = {"c"}}, false},
        {{.client_request_ids = {"0000000000000001"}}, true},
        {{.client_request_ids = {"1"}}, false},
        {{.objects = {0}}, true},
        {{.objects = {5}}, false},
    };
    for (const auto& c : kCases)
        CHECK(c.selection.matches(timeline, "pages") == c.matches);
}

void an_unknown_outcome_is_named() {
    const Selection known{.outcomes = {"miss", "open"}};
    const Selection unknown{.outcomes = {"served", "nonsense"}};
    CHECK(!known.unknown_outcome() && *unknown.unknown_outcome() == "nonsense");
}

void a_summary_counts_outcomes_attempts_fills_and_reasons() {
    TimelineFixture f;
    add_hedged_request(f);
    f.add(170, ended(1, 0, 6));
    f.add(200, taken(0, 9));
    f.add(201, answered(0, 3));
    f.add(300, taken(2, 20));
    f.add(400, taken(2, 21));
    f.add(410, answered(2, 4));
    f.add(500, taken(3));
    f.add(500, sent(3, 0, "a"));
    f.add(510, answered(3, 4));
    f.add(510, ClientClosed{3});
    f.add(511, ended(3, 0, 6));
    f.add(600, answered(77, 0));
    f.add(610, taken(5));
    f.builder.finish();
    RequestSummary summary{[](auto, auto, auto) {
        return std::int64_t{50};
    }};
    for (const RequestTimeline& timeline : f.complete)
        summary.add(timeline, "pages");
    const ClassSummary& c = summary.classes().at("pages");
    CHECK(c.received == 6 && c.count(Outcome::served) == 2 && c.count(Outcome::rejected) == 1);
    CHECK(c.count(Outcome::failed) == 2 && c.count(Outcome::open) == 2 &&
          c.count(Outcome::not_admitted) == 1);
    CHECK(c.late == 1 && c.fills.at("hub") == 1 && c.attempts[2] == 1);
    CHECK(c.error_reasons.at("at the door") == 1 && c.error_reasons.at("cancelled") == 1 &&
          c.error_reasons.at("no attempt") == 1);
}

void quantiles_are_exact_to_a_bin() {
    LatencyHistogram t;
    CHECK(t.quantile(0.5) == 0);
    for (int i = 1; i <= 1000; ++i)
        t.add(i * kMs);
    for (const auto& [share, ms] : {std::pair{0.5, 500.0}, {0.9, 900.0}, {0.99, 990.0}, {1.0, 1000.0}})
        CHECK(std::abs(t.quantile(share) / ms - 1) < 0.016);
    t.add(std::int64_t{5'000'000} * kSecond);  // beyond the last bin: still the maximum
    CHECK(t.quantile(1) > 4e9);
}

double uniform(std::mt19937_64& random) {
    return static_cast<double>(random() >> 11) * 0x1p-53;
}

// Clocks 1 s apart that drift, with delays of 99 to 320 ms for each purge, some far too late, some missing.
void clock_offset_and_drift_are_estimated_from_purges() {
    std::mt19937_64 random{5};
    const double ahead_ms[] = {0, 1000, -870};
    const double ppm[] = {0, 100, -60};
    ClockOffsetEstimator clocks;
    for (int i = 0; i < 2000; ++i) {
        const auto t = static_cast<std::int64_t>(i * 1.7e9);
        for (std::uint32_t r = 0; r < 3; ++r) {
            if (random() % 20 == 0)
                continue;
            double delay = 99e6 + 221e6 * uniform(random);
            if (random() % 25 == 0)
                delay += 5e9 * uniform(random);  // after a reconnect
            const double true_time = static_cast<double>(t) + delay;
            clocks.observe_purge(
                r, static_cast<std::uint64_t>(i),
                static_cast<std::int64_t>(true_time + ahead_ms[r] * 1e6 + true_time * ppm[r] / 1e6));
        }
    }
    CHECK(clocks.best_reference());
    for (const std::uint32_t r : {1u, 2u}) {
        const auto e = clocks.estimate(r, 0);
        CHECK(e && e->basis == ClockOffsetEstimate::Basis::purges && e->shared > 1500 && e->trimmed > 20);
        for (const double at : {0.0, 1700e9, 3400e9}) {
            const double expected = -ahead_ms[r] * 1e6 - at * ppm[r] / 1e6;
            const double found = static_cast<double>(e->correction_ns(static_cast<std::int64_t>(at)));
            CHECK(std::abs(found - expected) < 20e6);
            CHECK(std::abs(found - expected) < 3 * e->uncertainty_ns);
        }
        CHECK(std::abs(e->drift * 1e6 + ppm[r]) < 8);
    }
    CHECK(!clocks.estimate(9, 0) &&
          clocks.estimate(9, 0).error().message().find("no purge") != std::string::npos);
}

void copies_replace_purges_where_too_few_are_shared() {
    std::mt19937_64 random{5};
    ClockOffsetEstimator few;
    for (std::uint64_t i = 0; i < 7; ++i)
        for (const std::uint32_t r : {0u, 1u})
            few.observe_purge(r, i, static_cast<std::int64_t>(i) * kSecond);
    CHECK(!few.estimate(1, 0) && few.estimate(1, 0).error().message().starts_with("7 purges"));
    for (int i = 0; i < 30'000; ++i)
        for (const std::uint32_t r : {0u, 1u}) {
            const std::int64_t generated = i * 20 * kMs;
            const auto delay = 20 * kMs + static_cast<std::int64_t>(uniform(random) * 90e6);
            few.observe_copy(r, generated + delay + (r == 1 ? 700 * kMs : 0), generated);
        }
    const auto by_copies = few.estimate(1, 0);
    CHECK(by_copies && by_copies->basis == ClockOffsetEstimate::Basis::copies);
    CHECK(std::abs(by_copies->offset_ns + 700e6) < 20e6);
}

void a_bounded_number_of_purges_is_kept_the_same_of_all_routers() {
    ClockOffsetEstimator many;
    for (std::uint64_t i = 0; i < 5 * ClockOffsetEstimator::kMaxPurgesPerRouter; ++i)
        for (const std::uint32_t r : {0u, 1u})
            many.observe_purge(r, i, static_cast<std::int64_t>(i) * kMs + r * 5 * kMs);
    const auto e = many.estimate(1, 0);
    CHECK(e && e->shared > 1000 && e->shared <= ClockOffsetEstimator::kMaxPurgesPerRouter);
    CHECK(std::abs(e->offset_ns + 5e6) < 1);
}

void the_effective_state_is_bounded_and_can_be_rebuilt() {
    EffectiveState state;
    for (std::uint64_t i = 1; i <= EffectiveState::kMaxOpenRequests + 100; ++i)
        state.update({1, 0, taken(i)});
    CHECK(state.open_request_count() == EffectiveState::kMaxOpenRequests && state.evicted() == 100);
    CHECK(!state.open_request(0, 100) && state.open_request(0, 101));
    for (std::uint32_t router = 0; router < EffectiveState::kMaxRouters + 5; ++router)
        state.update({1, router, ServerListChanged{}});
    CHECK(state.router_count() == EffectiveState::kMaxRouters);
    EffectiveState rebuilt;
    state.for_each([&](const Record& record) { rebuilt.update(record); });
    CHECK(rebuilt.open_request_count() == state.open_request_count());
}

std::size_t purge_count(const EffectiveState& state) {
    std::size_t count = 0;
    state.for_each(
        [&count](const Record& record) { count += std::holds_alternative<PurgeReceived>(record.body); });
    return count;
}

void purges_expire_and_a_restart_discards_them() {
    EffectiveState state;
    state.update({0, 0, PurgeReceived{}});
    state.update({EffectiveState::kPurgeRetentionNs + 1, 0, PurgeReceived{}});
    CHECK(purge_count(state) == 1);
    state.update({0, 0, RouterStarted{}});
    CHECK(purge_count(state) == 0);
}

void files_rotate_by_size_and_age() {
    const Retention r{{.max_total_bytes = 100, .max_file_bytes = 40, .max_file_age_ns = 1000}};
    CHECK(!r.should_rotate(39, 999) && r.should_rotate(40, 0) && r.should_rotate(0, 1000));
}

void the_oldest_files_are_removed_and_no_more_than_necessary() {
    const Retention r{{.max_total_bytes = 100, .max_file_bytes = 40, .max_file_age_ns = 1000}};
    using Files = std::vector<Retention::File>;
    using Names = std::vector<std::string>;
    CHECK(r.files_to_remove({}, 50).empty());
    CHECK(r.files_to_remove(Files{{"b", 40}, {"a", 40}}, 20).empty());
    CHECK(r.files_to_remove(Files{{"b", 40}, {"a", 40}}, 21) == Names{"a"});
    CHECK((r.files_to_remove(Files{{"c", 40}, {"b", 40}, {"a", 40}}, 99) == Names{"a", "b", "c"}));
}

void a_trigger_without_a_share_never_fires() {
    FailureTrigger never{{}};
    for (int i = 0; i < 1000; ++i)
        CHECK(!never.add_response(true, i));
}

void a_high_failure_rate_fires_once_in_an_interval() {
    FailureTrigger trigger{{.failed_share = 0.2,
                            .window_ns = 10 * kSecond,
                            .min_responses = 50,
                            .min_interval_ns = 60 * kSecond}};
    int fired = 0;
    std::int64_t at = 0;
    const auto respond = [&](int responses, int fail_every) {
        for (int i = 0; i < responses; ++i, at += 20 * kMs)
            fired += trigger.add_response(i % fail_every == 0, at);
    };
    respond(1000, 10);
    CHECK(fired == 0);
    respond(500, 3);
    CHECK(fired == 1);
    respond(2000, 3);
    CHECK(fired == 1);
    respond(1000, 3);
    CHECK(fired == 2);
    at += 3600 * kSecond;  // a pause empties the window
    CHECK(!trigger.add_response(true, at) && trigger.failed_share() == 1);
}

}  // namespace

int main() {
    a_request_is_complete_with_the_end_of_its_last_attempt();
    a_request_that_was_not_admitted_has_no_number_and_no_attempts();
    a_reused_number_ends_the_open_request_of_the_run_before();
    a_response_at_the_deadline_is_not_a_closed_client();
    incomplete_requests_are_reported_too();
    a_selection_matches_by_class_outcome_server_id_and_object();
    an_unknown_outcome_is_named();
    a_summary_counts_outcomes_attempts_fills_and_reasons();
    quantiles_are_exact_to_a_bin();
    clock_offset_and_drift_are_estimated_from_purges();
    copies_replace_purges_where_too_few_are_shared();
    a_bounded_number_of_purges_is_kept_the_same_of_all_routers();
    the_effective_state_is_bounded_and_can_be_rebuilt();
    purges_expire_and_a_restart_discards_them();
    files_rotate_by_size_and_age();
    the_oldest_files_are_removed_and_no_more_than_necessary();
    a_trigger_without_a_share_never_fires();
    a_high_failure_rate_fires_once_in_an_interval();
    std::puts("model: timelines, summaries, clock offsets, effective state, retention, trigger");
}

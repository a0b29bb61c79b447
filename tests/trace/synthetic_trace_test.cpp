// The generator of synthetic traces: simulated time, plans, and traces that depend on the plan alone.
#include "lab/synthetic_trace/synthetic_trace.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <string>

#include "lab/synthetic_trace/event_scheduler.h"
#include "synthetic_traces.h"

using namespace silverrail;
using namespace silverrail::lab;
using namespace std::chrono_literals;
using trace::Bytes;
using trace::generate;

namespace {

// Of what the records say, whatever the version of the compression.
class RecordDigest {
public:
    void add(const trace::model::Record& record) {
        add_number(record.at);
        add_number(record.router_index);
        add_number(record.body.index());
        std::visit(
            [this](const auto& body) {
                body.fields(body, [this](const char*, const auto& value, trace::model::Encoding) {
                    using Value = std::decay_t<decltype(value)>;
                    if constexpr (std::is_same_v<Value, trace::model::Text>)
                        value_ = trace::checksum(value, value_);
                    else
                        add_number(value);
                });
            },
            record.body);
    }
    std::uint64_t value() const {
        return value_;
    }

private:
    template <class Number>
    void add_number(Number number) {
        value_ = trace::checksum({reinterpret_cast<const char*>(&number), sizeof number}, value_);
    }
    std::uint64_t value_ = 0;
};

std::uint64_t digest(const Bytes& bytes) {
    const trace::MemorySource source{bytes};
    trace::TraceReader reader{source};
    RecordDigest digest;
    for (const auto& record : trace::read_all(reader))
        digest.add(record.record());
    return digest.value();
}

void a_plan_gives_the_traces_that_it_has_always_given() {
    SyntheticTracePlan plan;
    plan.duration_s = 80;  // two servers leave and come back
    plan.requests_per_s = 20;
    plan.routers = 3;
    plan.max_skew_ms = 700;
    plan.max_drift_ppm = 60;
    plan.restart = true;
    plan.seed = 5;
    const auto traces = generate(plan);
    // Of the files that the program wrote before the generator was split into modules.
    const std::uint64_t expected[] = {0x30a36e0b9e826676, 0x4f8934d8fb46b3a6, 0x9bfceb6889db7154,
                                      0x6b57ff31640a533e};
    CHECK(traces.sinks.size() == std::size(expected));
    for (std::size_t i = 0; i < std::size(expected); ++i)
        CHECK(digest(traces[i]) == expected[i]);
}

void the_bytes_depend_on_the_plan_alone() {
    SyntheticTracePlan plan;
    plan.duration_s = 5;
    plan.requests_per_s = 50;
    const auto first = generate(plan);
    CHECK(first[0] == generate(plan)[0]);
    plan.seed = 2;
    CHECK(first[0] != generate(plan)[0]);
}

void plans_that_contradict_themselves_are_rejected() {
    const std::function<void(SyntheticTracePlan&)> faults[] = {
        [](auto& plan) { plan.duration_s = 0; },
        [](auto& plan) { plan.requests_per_s = 0; },
        [](auto& plan) { plan.requests_per_s = std::nan(""); },
        [](auto& plan) { plan.routers = 0; },
        [](auto& plan) { plan.routers = 65; },
        [](auto& plan) { plan.requests_per_s = 1e9; },
        [](auto& plan) { plan.restart = true; },
        [](auto& plan) {
            plan.routers = 2;
            plan.restart = true;
            plan.duration_s = 9;
        },
    };
    validate({});
    for (const auto& fault : faults) {
        SyntheticTracePlan plan;
        fault(plan);
        bool rejected = false;
        try {
            validate(plan);
        } catch (const InvalidPlan&) {
            rejected = true;
        }
        CHECK(rejected);
    }
}

void actions_run_in_the_order_of_their_times_and_ties_in_the_order_scheduled() {
    EventScheduler scheduler;
    std::string order;
    scheduler.schedule_at(2s, [&order] { order += 'c'; });
    scheduler.schedule_at(1s, [&] {
        order += 'a';
        scheduler.schedule_at(0s, [&order] { order += 'b'; });  // the past means now
    });
    scheduler.schedule_at(2s, [&order] { order += 'd'; });
    scheduler.schedule_at(3s, [&order] { order += 'e'; });
    while (scheduler.run_next(2s)) {}
    CHECK(order == "abcd" && scheduler.now() == 2s);
    CHECK(scheduler.run_next(3s) && order == "abcde" && !scheduler.run_next(10s));
}

void timers_follow_the_clock_of_their_router() {
    EventScheduler scheduler;
    const SimulatedClock fast{scheduler, 0, 1000s, {250, 1e5}};  // 10% fast
    SimulatedTimers timers{scheduler, fast};
    CHECK(fast.steady_ns() == 1'000'000'000'000 && fast.unix_ms() == 250);
    EventScheduler::Duration fired_at{0};
    timers.at(fast.now() + 11s, [&] { fired_at = scheduler.now(); });
    const auto cancelled = timers.at(fast.now() + 1s, [] { CHECK(false); });
    timers.cancel(cancelled);
    while (scheduler.run_next(60s)) {}
    CHECK(fired_at >= 10s && fired_at < 10s + 10us);
}

}  // namespace

int main() {
    a_plan_gives_the_traces_that_it_has_always_given();
    the_bytes_depend_on_the_plan_alone();
    plans_that_contradict_themselves_are_rejected();
    actions_run_in_the_order_of_their_times_and_ties_in_the_order_scheduled();
    timers_follow_the_clock_of_their_router();
    std::puts("synthetic traces: as planned, and always the same");
}

// Merged synthetic traces.
#include "trace/tools/merge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <vector>

#include "synthetic_traces.h"
#include "trace/tools/show.h"

using namespace silverrail;
using namespace silverrail::trace;
using namespace silverrail::trace::model;

namespace {

// Three routers, clocks up to a second apart and drifting, one of them restarted in between.
lab::SyntheticTracePlan fleet_plan() {
    lab::SyntheticTracePlan plan;
    plan.duration_s = 120;
    plan.requests_per_s = 12;
    plan.routers = 3;
    plan.max_skew_ms = 1000;
    plan.max_drift_ppm = 100;
    plan.restart = true;
    plan.purges_per_s = 3;
    plan.seed = 11;
    return plan;
}

struct Fleet {
    static constexpr std::size_t kTraces = 4;

    Fleet() {
        CHECK(traces.descriptions.size() == kTraces);
        for (std::size_t i = 0; i < kTraces; ++i) {
            open.push_back(std::make_unique<OpenTrace>(traces[i]));
            inputs.push_back({traces.descriptions[i].file, &open.back()->reader});
        }
    }
    // How far a router's Unix clock is ahead of the true time, ms.
    double ahead_ms(std::size_t i, double at_s) const {
        const lab::ClockError& error = traces.descriptions[i].clock_error;
        return error.offset_ms + error.drift_ppm * at_s / 1e3;
    }

    const lab::SyntheticTracePlan plan = fleet_plan();
    const GeneratedTraces traces = generate(plan);
    std::vector<std::unique_ptr<OpenTrace>> open;
    std::vector<MergeInput> inputs;
};

std::size_t reference_of(const MergeResult& result) {
    CHECK(result.routers.size() == Fleet::kTraces);
    std::size_t reference = Fleet::kTraces;
    for (std::size_t i = 0; i < Fleet::kTraces; ++i)
        if (result.routers[i].is_reference)
            reference = i;
    CHECK(reference < Fleet::kTraces);
    return reference;
}

void corrected_clocks_agree(const Fleet& fleet, const MergeResult& result) {
    const std::size_t reference = reference_of(result);
    double spread = 0;
    int confirmed = 0;
    for (std::size_t i = 0; i < Fleet::kTraces; ++i) {
        const auto& router = result.routers[i];
        CHECK(router.router_name == fleet.traces.descriptions[i].router_name);
        for (const double at_s : {30.0, 100.0}) {
            const auto at = fleet.plan.begin_unix_ns +
                            static_cast<std::int64_t>((at_s * 1e3 + fleet.ahead_ms(i, at_s)) * 1e6);
            const double residual_ms = static_cast<double>(router.estimate.correction_ns(at)) / 1e6 +
                                       fleet.ahead_ms(i, at_s) - fleet.ahead_ms(reference, at_s);
            CHECK(std::abs(residual_ms) < 40);
        }
        // Copies' ages confirm what purges say.
        if (router.estimate.min_delay_difference_ns) {
            CHECK(std::abs(*router.estimate.min_delay_difference_ns) < 60e6);
            ++confirmed;
        }
        spread = std::max(spread, std::abs(fleet.ahead_ms(i, 0) - fleet.ahead_ms(reference, 0)));
    }
    CHECK(confirmed >= 1 && spread > 300);  // there was something to correct
}

// Each router's in its own order, and all of them about in the order of time.
void all_records_are_there_in_order(const Fleet& fleet, const MergeResult& result, OpenTrace& merged) {
    std::map<std::uint32_t, std::int64_t> last;
    std::int64_t newest = 0;
    std::uint64_t records = 0;
    merged.reader.for_each({}, [&](const Record& r, bool from_snapshot, const EffectiveState& state) {
        if (from_snapshot)
            return true;
        ++records;
        CHECK(r.at >= last[r.router_index]);
        last[r.router_index] = r.at;
        const std::int64_t at = state.unix_ns(r.router_index, r.at);
        CHECK(at > newest - 5'000'000);
        newest = std::max(newest, at);
        return true;
    });
    std::uint64_t written_records = 0;
    for (const auto& open : fleet.open)
        for (const auto& chunk : open->reader.chunks())
            written_records += chunk.summary.new_records();
    CHECK(records == written_records && records == result.records && last.size() == Fleet::kTraces);
}

// A request's number means another request at another router and after a restart.
void no_requests_are_mixed_up(const Fleet& fleet, OpenTrace& merged) {
    std::uint64_t shown = 0;
    show(merged.reader, {},
         [&](const RequestTimeline& timeline, const Names&) { shown += timeline.received_at != kNoTime; });
    std::uint64_t generated = 0;
    for (const auto& description : fleet.traces.descriptions)
        generated += description.requests;
    CHECK(shown == generated);
    const Replay replay = replayed(merged);
    CHECK(!replay.first_difference() && !replay.stop());
}

void given_offsets_take_precedence_over_estimates(const Fleet& fleet) {
    MemorySink sink;
    const MergeResult result = merge(fleet.inputs, {{"n1", -250.0}}, sink);
    for (const auto& router : result.routers)
        if (router.router_name == "n1")
            CHECK(router.estimate.basis == ClockOffsetEstimate::Basis::given &&
                  router.estimate.offset_ns == -250e6);
}

void traces_that_share_nothing_are_rejected_with_a_reason() {
    lab::SyntheticTracePlan plan;
    plan.duration_s = 2;
    plan.requests_per_s = 20;
    plan.routers = 2;
    plan.purges_per_s = 0;
    const GeneratedTraces traces = generate(plan);
    OpenTrace n0{traces[0]};
    OpenTrace n1{traces[1]};
    MemorySink unused;
    try {
        merge({{"n0", &n0.reader}, {"n1", &n1.reader}}, {}, unused);
        CHECK(false);
    } catch (const ToolError& e) {
        CHECK(std::strstr(e.what(), "0 purges") && std::strstr(e.what(), "--offset"));
    }
}

}  // namespace

int main() {
    const Fleet fleet;
    MemorySink sink;
    const MergeResult result = merge(fleet.inputs, {}, sink);
    OpenTrace merged{std::move(sink.bytes())};
    corrected_clocks_agree(fleet, result);
    all_records_are_there_in_order(fleet, result, merged);
    no_requests_are_mixed_up(fleet, merged);
    given_offsets_take_precedence_over_estimates(fleet);
    traces_that_share_nothing_are_rejected_with_a_reason();
    std::puts("merge: clocks agree, no record is lost");
}

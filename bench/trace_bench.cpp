// Benchmarks of traces, beside their baseline: the same records as lines of JSON, searched in order.
// `make bench`; figures of one run may be compared with each other, not with another machine's.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <memory>
#include <new>
#include <sstream>
#include <thread>

#include "config/config.h"
#include "lab/synthetic_trace/synthetic_trace.h"
#include "trace/output/record_json.h"
#include "trace/recorder/recorder.h"
#include "trace/replay/replay.h"
#include "trace/tools/cut.h"
#include "trace/tools/merge.h"
#include "trace/tools/summarize.h"

namespace {
thread_local std::uint64_t allocated = 0;
}
void* operator new(std::size_t bytes) {
    ++allocated;
    if (void* p = std::malloc(bytes))
        return p;
    throw std::bad_alloc{};
}
void operator delete(void* p) noexcept {
    std::free(p);
}
void operator delete(void* p, std::size_t) noexcept {
    std::free(p);
}

namespace silverrail::trace {
namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

struct Made {
    std::vector<std::unique_ptr<MemorySink>> sinks;
    std::uint64_t calls = 0;
    std::uint64_t records = 0;
};
Made make(double seconds, int routers) {
    Made m;
    lab::SyntheticTracePlan plan;
    plan.duration_s = seconds;
    plan.routers = routers;
    plan.requests_per_s = routers == 1 ? 950 : 240;
    plan.max_skew_ms = routers == 1 ? 0 : 1000;
    plan.max_drift_ppm = routers == 1 ? 0 : 100;
    plan.seed = 7;
    const auto open_output = [&m](const lab::RouterProcess&) -> lab::TraceOutput {
        m.sinks.push_back(std::make_unique<MemorySink>());
        return {*m.sinks.back(), ""};
    };
    for (const auto& trace : lab::generate_synthetic_traces(plan, open_output))
        m.calls += trace.requests;
    for (const auto& s : m.sinks) {
        const MemorySource source{s->bytes()};
        TraceReader reader{source};
        for (const auto& c : reader.chunks())
            m.records += c.summary.new_records();
    }
    return m;
}

// One router for two minutes, made once.
class OneRouter : public benchmark::Fixture {
public:
    void SetUp(const benchmark::State&) override {
        if (!made.sinks.empty())
            return;
        made = make(120, 1);
        source = std::make_unique<MemorySource>(made.sinks[0]->bytes());
        TraceReader reader{*source};
        reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState& f) {
            if (!from_snapshot)
                lines += config::json_line(json_of(r, f.unix_ns(r.router_index, r.at))) + '\n';
            return true;
        });
    }
    Made made;
    std::unique_ptr<MemorySource> source;
    std::string lines;
};

BENCHMARK_F(OneRouter, Size)(benchmark::State& state) {
    for (auto _ : state)
        benchmark::DoNotOptimize(made.calls);
    const auto calls = static_cast<double>(made.calls);
    state.counters["bytes_a_call"] = static_cast<double>(source->size()) / calls;
    state.counters["json_bytes_a_call"] = static_cast<double>(lines.size()) / calls;
    state.counters["times_smaller"] = static_cast<double>(lines.size()) / static_cast<double>(source->size());
}

BENCHMARK_F(OneRouter, CutTenSeconds)(benchmark::State& state) {
    for (auto _ : state) {
        TraceReader reader{*source};
        model::Selection s;
        s.from_unix_ns = reader.chunks()[0].summary.first_unix_ns + 60 * kSecond;
        s.to_unix_ns = s.from_unix_ns + 10 * kSecond;
        MemorySink out;
        benchmark::DoNotOptimize(cut(reader, s, out).records);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(made.records / 12));
}
BENCHMARK_F(OneRouter, CutTenSecondsOfJsonLines)(benchmark::State& state) {
    const std::string from = "2025-12-01T08:01:00";
    const std::string to = "2025-12-01T08:01:10";
    for (auto _ : state) {
        std::istringstream in{lines};
        std::string line;
        std::string out;
        while (std::getline(in, line)) {
            const auto json = config::parse_json(line);
            const std::string time = (*json)["time"].asString();
            if (time >= from && time < to)
                out += line + '\n';
        }
        benchmark::DoNotOptimize(out);
    }
}

BENCHMARK_F(OneRouter, ChunkSummary)(benchmark::State& state) {
    for (auto _ : state) {
        TraceReader reader{*source};
        Summarizer s;
        s.add(reader);
        benchmark::DoNotOptimize(s.result().records);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(made.records));
}
BENCHMARK_F(OneRouter, ReadJsonLines)(benchmark::State& state) {
    for (auto _ : state) {
        std::istringstream in{lines};
        std::string line;
        std::uint64_t n = 0;
        while (std::getline(in, line))
            n += config::parse_json(line)->isObject();
        benchmark::DoNotOptimize(n);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(made.records));
}

BENCHMARK_F(OneRouter, Replay)(benchmark::State& state) {
    for (auto _ : state) {
        TraceReader reader{*source};
        Replay replay{parse_settings};
        reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
            return from_snapshot || replay.add(r);
        });
        replay.finish();
        if (replay.first_difference())
            state.SkipWithError("decisions differ");
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(made.records));
}

// What a call costs the request thread: all its records taken by a recorder. It is given time to write them
// between two rounds, untimed. Allocations are those of this thread.
BENCHMARK_F(OneRouter, RequestThread)(benchmark::State& state) {
    TraceReader reader{*source};
    std::vector<model::OwnedRecord> records;
    std::uint64_t calls = 0;
    reader.for_each({}, [&](const Record& r, bool from_snapshot, const model::EffectiveState&) {
        if (!from_snapshot && !std::holds_alternative<model::RouterStarted>(r.body))
            records.emplace_back(r);
        calls += std::holds_alternative<model::RequestReceived>(r.body) && !from_snapshot;
        return records.size() < 20'000;
    });
    RecorderSettings settings;
    settings.queue_bytes = 16 << 20;
    settings.flight_bytes = 8 << 20;
    Recorder recorder{settings, RecorderIdentity{}, std::make_unique<DiskFolder>("/nowhere", "")};
    std::uint64_t allocations = 0;
    for (auto _ : state) {
        const std::uint64_t before = allocated;
        for (const auto& k : records)
            recorder.add(k.record());
        state.PauseTiming();
        allocations += allocated - before;
        std::this_thread::sleep_for(std::chrono::milliseconds{60});
        state.ResumeTiming();
    }
    if (recorder.counts().dropped)
        state.SkipWithError("records were dropped");
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(calls));  // calls
    state.counters["allocations"] = static_cast<double>(allocations);
}

void merge_four(benchmark::State& state) {
    const Made made = make(120, 4);
    for (auto _ : state) {
        std::vector<std::unique_ptr<MemorySource>> sources;
        std::vector<std::unique_ptr<TraceReader>> readers;
        std::vector<MergeInput> inputs;
        for (const auto& s : made.sinks) {
            sources.push_back(std::make_unique<MemorySource>(s->bytes()));
            readers.push_back(std::make_unique<TraceReader>(*sources.back()));
            inputs.push_back({"", readers.back().get()});
        }
        MemorySink out;
        benchmark::DoNotOptimize(merge(inputs, {}, out).records);
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(made.records));
}
BENCHMARK(merge_four)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace silverrail::trace

BENCHMARK_MAIN();

#include "trace/tools/merge.h"

#include <algorithm>
#include <queue>
#include <set>

#include "trace/format/trace_writer.h"
#include "trace/output/value_text.h"

namespace silverrail::trace {

using namespace model;

namespace {

// A router's name and the start of its process.
using RunId = std::pair<std::string, std::int64_t>;

// After a start discovery repeats earlier purges: their times say nothing about the clock.
constexpr std::int64_t kStartupNs = 3'000'000'000;

std::uint64_t purge_key(const PurgeReceived& purge) {
    const std::uint64_t parts[] = {purge.whole_group, purge.whole_group ? purge.group : purge.object,
                                   static_cast<std::uint64_t>(purge.issued_unix_ms)};
    return checksum({reinterpret_cast<const char*>(parts), sizeof parts});
}

ReadOptions read_options(Types types = kAllTypes) {
    ReadOptions options;
    options.track_state = false;
    options.types = types;
    return options;
}

// All runs of routers, numbered in order of their first occurrence.
class RunDirectory {
public:
    std::uint32_t find_or_add(const RouterStarted& start) {
        const auto [run, inserted] = numbers_.try_emplace(RunId{start.router_name, start.incarnation_unix_ns},
                                                          static_cast<std::uint32_t>(routers_.size()));
        if (inserted) {
            if (routers_.size() >= EffectiveState::kMaxRouters)
                throw ToolError("over 256 router runs");
            MergedRouter router;
            router.router_name = start.router_name;
            router.incarnation_unix_ns = start.incarnation_unix_ns;
            routers_.push_back(std::move(router));
        }
        return run->second;
    }
    std::vector<MergedRouter>& routers() {
        return routers_;
    }
    const std::map<RunId, std::uint32_t>& numbers() const {
        return numbers_;
    }

private:
    std::map<RunId, std::uint32_t> numbers_;
    std::vector<MergedRouter> routers_;
};

// First pass: collects what the routers share.
class SharedEventCollector {
public:
    SharedEventCollector(RunDirectory& runs, ClockOffsetEstimator& clock_offsets)
        : runs_(runs), clock_offsets_(clock_offsets) {}

    void read(const MergeInput& input) {
        numbers_.clear();
        started_at_.clear();
        input.reader->for_each(
            read_options(types_of<RouterStarted, ClockSample, PurgeReceived, ResponseSent>()),
            [&](const Record& record, bool from_snapshot, const EffectiveState& clocks) {
                if (const auto* start = std::get_if<RouterStarted>(&record.body))
                    on_start(input, record, *start, from_snapshot);
                else if (!from_snapshot)
                    on_event(record, clocks.unix_ns(record.router_index, record.at));
                return true;
            });
    }

private:
    void on_start(const MergeInput& input, const Record& record, const RouterStarted& start,
                  bool from_snapshot) {
        const std::uint32_t number = runs_.find_or_add(start);
        auto& files = runs_.routers()[number].files;
        if (files.empty() || files.back() != input.name)
            files.push_back(input.name);
        numbers_[record.router_index] = number;
        if (!from_snapshot)
            started_at_[number] = record.at;
    }

    void on_event(const Record& record, std::int64_t unix_ns) {
        const auto number = numbers_.find(record.router_index);
        if (number == numbers_.end())
            return;
        if (const auto* purge = std::get_if<PurgeReceived>(&record.body)) {
            const auto started = started_at_.find(number->second);
            if (started == started_at_.end() || record.at >= started->second + kStartupNs)
                clock_offsets_.observe_purge(number->second, purge_key(*purge), unix_ns);
        } else if (const auto* response = std::get_if<ResponseSent>(&record.body);
                   response && response->generated_unix_ms > 0) {
            clock_offsets_.observe_copy(number->second, unix_ns, response->generated_unix_ms * 1'000'000);
        }
    }

    RunDirectory& runs_;
    ClockOffsetEstimator& clock_offsets_;
    std::map<std::uint32_t, std::uint32_t> numbers_;    // of this input, by its router index
    std::map<std::uint32_t, std::int64_t> started_at_;  // in this input, by number
};

// A machine's clock continues while its router restarts: another run of the router has the same offset.
const MergedRouter* find_other_run(const std::vector<MergedRouter>& routers, std::uint32_t number,
                                   const std::map<std::uint32_t, std::string>& missing) {
    const MergedRouter* other = nullptr;
    for (std::uint32_t i = 0; i < routers.size(); ++i)
        if (routers[i].router_name == routers[number].router_name && i != number && !missing.contains(i))
            other = &routers[i];
    return other;
}

void estimate_offsets(RunDirectory& runs, const ClockOffsetEstimator& clock_offsets,
                      const std::map<std::string, double>& given_offsets_ms) {
    const std::uint32_t reference = clock_offsets.best_reference().value_or(0);
    std::map<std::uint32_t, std::string> missing;  // why there is no estimate, by number
    for (const auto& [run, number] : runs.numbers()) {
        MergedRouter& router = runs.routers()[number];
        if (const auto given = given_offsets_ms.find(run.first); given != given_offsets_ms.end()) {
            router.estimate.offset_ns = given->second * 1e6;
            router.estimate.basis = ClockOffsetEstimate::Basis::given;
        } else if (number == reference) {
            router.is_reference = true;
        } else if (const auto estimate = clock_offsets.estimate(number, reference)) {
            router.estimate = *estimate;
        } else {
            missing[number] = estimate.error().message();
        }
    }
    for (const auto& [number, reason] : missing) {
        MergedRouter& router = runs.routers()[number];
        const MergedRouter* other = find_other_run(runs.routers(), number, missing);
        if (!other)
            throw ToolError(router.router_name + ": its clock can't be compared: " + reason +
                            "; tell it with --offset " + router.router_name + "=MS");
        router.estimate = other->estimate;
        router.borrowed_from = time_text(other->incarnation_unix_ns);
    }
}

// The records of one input with corrected clocks.
class CorrectedStream {
public:
    CorrectedStream(TraceReader& reader, RunDirectory& runs)
        : cursor_(reader, read_options()), runs_(&runs) {}

    // Advances to the next record that is not from a snapshot; `on_snapshot` receives those that are. False:
    // there are no more.
    template <class F>
    bool advance(F&& on_snapshot) {
        bool from_snapshot = false;
        while (cursor_.next(record_, from_snapshot)) {
            if (!correct())
                continue;  // of a router whose start is missing
            if (!from_snapshot)
                return true;
            on_snapshot(record_);
        }
        return false;
    }
    const Record& record() const {
        return record_;
    }
    // Corrected.
    std::int64_t unix_ns() const {
        return unix_ns_;
    }

private:
    struct Clock {
        std::uint32_t number;  // of the run
        std::int64_t offset;   // not corrected
    };

    bool correct() {
        auto clock = clocks_.find(record_.router_index);
        if (const auto* start = std::get_if<RouterStarted>(&record_.body))
            clock =
                clocks_
                    .insert_or_assign(record_.router_index, Clock{runs_->find_or_add(*start), start->offset})
                    .first;
        if (clock == clocks_.end())
            return false;
        auto& [number, offset] = clock->second;
        const ClockOffsetEstimate& estimate = runs_->routers()[number].estimate;
        if (auto* start = std::get_if<RouterStarted>(&record_.body))
            correct_clock(*start, offset, estimate);
        else if (auto* sample = std::get_if<ClockSample>(&record_.body))
            correct_clock(*sample, offset, estimate);
        unix_ns_ = record_.at + offset + estimate.correction_ns(record_.at + offset);
        record_.router_index = number;
        return true;
    }

    template <class T>
    void correct_clock(T& clock, std::int64_t& offset, const ClockOffsetEstimate& estimate) {
        offset = clock.offset;
        const std::int64_t correction = estimate.correction_ns(record_.at + offset);
        clock.offset += correction;
        clock.correction_ns += correction;
    }

    TraceReader::Cursor cursor_;
    RunDirectory* runs_;
    Record record_;
    std::int64_t unix_ns_ = 0;
    std::map<std::uint32_t, Clock> clocks_;  // by the input's router index
};

// The inputs' numbers in order of their first records.
std::vector<std::size_t> chronological_order(const std::vector<MergeInput>& inputs) {
    std::vector<std::pair<std::int64_t, std::size_t>> begins;
    for (std::size_t i = 0; i < inputs.size(); ++i) {
        const auto& chunks = inputs[i].reader->chunks();
        begins.emplace_back(chunks.empty() ? 0 : chunks[0].summary.first_unix_ns, i);
    }
    std::sort(begins.begin(), begins.end());
    std::vector<std::size_t> order;
    order.reserve(begins.size());
    for (const auto& [first_unix_ns, i] : begins)
        order.push_back(i);
    return order;
}

// Second pass: merges the inputs in the order of corrected time.
class StreamMerger {
public:
    StreamMerger(const std::vector<MergeInput>& inputs, RunDirectory& runs) : inputs_(inputs) {
        for (const MergeInput& input : inputs)
            streams_.emplace_back(*input.reader, runs);
    }

    std::uint64_t write(TraceWriter& writer, ProgressReporter& reporter) {
        writer.begin_with(begin_streams());
        std::uint64_t records = 0;
        while (!next_.empty()) {
            const std::size_t i = next_.top();
            next_.pop();
            writer.add(streams_[i].record());
            ++records;
            reporter.add_record();
            if (streams_[i].advance([](const Record&) {}))
                next_.push(i);
        }
        return records;
    }

private:
    // Advances all streams to their first records. Returns the state before them: of each run, that of its
    // first file.
    EffectiveState begin_streams() {
        EffectiveState state;
        for (const std::size_t i : chronological_order(inputs_)) {
            std::set<std::uint32_t> begun_here;
            const bool has_record = streams_[i].advance([&](const Record& record) {
                if (std::holds_alternative<RouterStarted>(record.body) &&
                    !state.knows_router(record.router_index))
                    begun_here.insert(record.router_index);
                if (begun_here.contains(record.router_index))
                    state.update(record);
            });
            if (has_record)
                next_.push(i);
        }
        return state;
    }

    struct Later {
        const std::vector<CorrectedStream>* streams;
        bool operator()(std::size_t a, std::size_t b) const {
            return std::pair{(*streams)[a].unix_ns(), a} > std::pair{(*streams)[b].unix_ns(), b};
        }
    };
    const std::vector<MergeInput>& inputs_;
    std::vector<CorrectedStream> streams_;
    std::priority_queue<std::size_t, std::vector<std::size_t>, Later> next_{Later{&streams_}};
};

}  // namespace

MergeResult merge(const std::vector<MergeInput>& inputs,
                  const std::map<std::string, double>& given_offsets_ms, ByteSink& output,
                  const Progress& progress) {
    RunDirectory runs;
    ClockOffsetEstimator clock_offsets;
    SharedEventCollector collector{runs, clock_offsets};
    for (const MergeInput& input : inputs)
        collector.read(input);
    if (runs.routers().empty())
        throw ToolError("no router's start is told in any file");
    estimate_offsets(runs, clock_offsets, given_offsets_ms);

    std::int64_t created_unix_ns = std::numeric_limits<std::int64_t>::max();
    std::uint32_t flags = kMerged;
    std::uint64_t total = 0;
    for (const MergeInput& input : inputs) {
        created_unix_ns = std::min(created_unix_ns, input.reader->created_unix_ns());
        flags |= input.reader->flags();
        total += record_count(*input.reader);
    }
    TraceWriter writer{output, flags, created_unix_ns};
    ProgressReporter reporter{progress, total};
    MergeResult result;
    result.records = StreamMerger{inputs, runs}.write(writer, reporter);
    writer.close();
    result.routers = std::move(runs.routers());
    return result;
}

}  // namespace silverrail::trace

#include "trace/tools/summarize.h"

#include <algorithm>

#include "trace/model/effective_state.h"

namespace silverrail::trace {

using namespace model;

// Reads one trace.
class Summarizer::Pass {
public:
    explicit Pass(Summarizer& summarizer) : summarizer_(summarizer) {}

    void add(const Record& record, bool from_snapshot) {
        if (std::holds_alternative<RouterStarted>(record.body)) {
            summarizer_.routers_.update(record);
            class_names_.clear();
        }
        if (std::holds_alternative<RouterStarted>(record.body) ||
            std::holds_alternative<ClockSample>(record.body))
            clocks_.update(record);
        timelines_.add(record, from_snapshot);
        if (!from_snapshot)
            count(record);
    }
    void finish() {
        timelines_.finish();
    }

private:
    void count(const Record& record) {
        TraceSummary& result = summarizer_.result_;
        if (std::holds_alternative<ServerListChanged>(record.body))
            ++result.list_changes;
        if (std::holds_alternative<PurgeReceived>(record.body))
            ++result.purges;
        if (const auto* gap = std::get_if<Gap>(&record.body)) {
            ++result.gaps;
            result.missing_records += gap->records;
        }
    }

    const std::string& class_name(const RequestTimeline& timeline) {
        if (!timeline.received_seen())
            return unseen_class_;
        const std::pair key{timeline.router_index, timeline.received.class_index};
        auto name = class_names_.find(key);
        if (name == class_names_.end())
            name = class_names_.emplace(key, summarizer_.routers_.class_name(timeline)).first;
        return name->second;
    }

    void on_complete(const RequestTimeline& timeline) {
        std::int64_t at = 0;
        if (timeline.received_seen())
            at = timeline.received_at;
        else if (timeline.closed())
            at = timeline.closed_at;
        summarizer_.find_or_add_interval(clocks_.unix_ns(timeline.router_index, at))
            .add(timeline, class_name(timeline));
    }

    Summarizer& summarizer_;
    EffectiveState clocks_;  // fed with starts and clocks only
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::string> class_names_;  // by router and class index
    const std::string unseen_class_{kUnseenClass};
    TimelineBuilder timelines_{[this](const RequestTimeline& timeline) {
        on_complete(timeline);
    }};
};

RequestSummary& Summarizer::find_or_add_interval(std::int64_t unix_ns) {
    const std::int64_t from =
        interval_ns_ > 0 ? unix_ns - (unix_ns % interval_ns_ + interval_ns_) % interval_ns_ : 0;
    auto place = interval_places_.find(from);
    if (place == interval_places_.end()) {
        if (interval_places_.size() >= kMaxIntervals)
            throw ToolError("over 100000 intervals: choose a longer one");
        place = interval_places_.emplace(from, result_.intervals.size()).first;
        result_.intervals.push_back(
            {from, RequestSummary{[this](std::uint32_t router, std::uint64_t class_index, double size_kb) {
                 return routers_.latency_objective(router, class_index, size_kb);
             }}});
    }
    return result_.intervals[place->second].requests;
}

void Summarizer::add_totals(const TraceReader& reader) {
    for (const auto& chunk : reader.chunks()) {
        const ChunkSummary& summary = chunk.summary;
        const bool first = result_.records == 0;
        result_.first_unix_ns =
            first ? summary.first_unix_ns : std::min(result_.first_unix_ns, summary.first_unix_ns);
        result_.last_unix_ns =
            first ? summary.last_unix_ns : std::max(result_.last_unix_ns, summary.last_unix_ns);
        result_.records += summary.new_records();
    }
}

void Summarizer::add(TraceReader& reader, const Progress& progress) {
    Pass pass{*this};
    ReadOptions options;
    options.track_state = false;
    options.types = ~types_of<TimerFired, TimerSet, AttemptCancelled, FirstByteDue, ServerListEntry>();
    ProgressReporter reporter{progress, record_count(reader)};
    reader.for_each(options, [&](const Record& record, bool from_snapshot, const EffectiveState&) {
        reporter.add_record();
        pass.add(record, from_snapshot);
        return true;
    });
    pass.finish();
    add_totals(reader);
}

}  // namespace silverrail::trace

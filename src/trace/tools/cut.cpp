#include "trace/tools/cut.h"

#include <map>
#include <utility>

#include "trace/format/trace_writer.h"

namespace silverrail::trace {

using namespace model;

namespace {

// Requests that were not admitted have no number. In a `RequestSet` their ordinal stands for it, with this
// bit set.
constexpr std::uint64_t kNotAdmittedBit = std::uint64_t{1} << 47;

// The number of each request in the set: the request's own, or its ordinal if it was not admitted.
class RequestNumbering {
public:
    std::uint64_t next_not_admitted(std::uint32_t router_index) {
        return kNotAdmittedBit | ordinals_[router_index]++;
    }
    std::uint64_t current_not_admitted(std::uint32_t router_index) {
        return kNotAdmittedBit | ordinals_[router_index];
    }

private:
    std::map<std::uint32_t, std::uint64_t> ordinals_;
};

ReadOptions read_options(const Selection& selection) {
    ReadOptions options;
    options.track_state = false;
    options.from_unix_ns = selection.from_unix_ns;
    options.to_unix_ns = selection.to_unix_ns;
    return options;
}

struct SelectedRequests {
    RequestSet set;
    std::uint64_t count = 0;  // a router that restarts uses the same numbers again
};

SelectedRequests select_requests(TraceReader& reader, const Selection& selection) {
    SelectedRequests selected;
    RouterDirectory routers;
    RequestNumbering numbering;
    TimelineBuilder timelines{[&](const RequestTimeline& timeline) {
        const std::uint64_t number =
            timeline.not_admitted() ? numbering.next_not_admitted(timeline.router_index) : timeline.request;
        if (!selection.matches(timeline, routers.class_name(timeline)))
            return;
        if (selected.set.full())
            throw ToolError("over 50 million calls are wanted: cut by time first");
        selected.set.insert(timeline.router_index, number);
        ++selected.count;
    }};
    reader.for_each(read_options(selection),
                    [&](const Record& record, bool from_snapshot, const EffectiveState&) {
                        routers.update(record);
                        timelines.add(record, from_snapshot);
                        return true;
                    });
    timelines.finish();
    return selected;
}

// Copies the selected records.
class Cutter {
public:
    Cutter(const Selection& selection, const RequestSet& requests, TraceWriter& writer)
        : selection_(selection), requests_(requests), writer_(writer) {}

    void add(const Record& record, bool from_snapshot) {
        const std::int64_t unix_ns = unix_time(record);
        if (from_snapshot || unix_ns < selection_.from_unix_ns) {
            state_.update(record);
            return;
        }
        // The routers of a merged trace are only roughly in order, so that later records may still be in
        // time.
        if (unix_ns >= selection_.to_unix_ns)
            return;
        if (!std::exchange(begun_, true))
            begin();
        state_.update(record);
        if (!is_selected(record))
            return;
        writer_.add(record);
        ++records_;
    }

    std::uint64_t records() const {
        return records_;
    }

private:
    // The time of a clock's own record is converted by that clock.
    std::int64_t unix_time(const Record& record) const {
        if (const auto* start = std::get_if<RouterStarted>(&record.body))
            return record.at + start->offset;
        if (const auto* clock = std::get_if<ClockSample>(&record.body))
            return record.at + clock->offset;
        return state_.unix_ns(record.router_index, record.at);
    }

    void begin() {
        EffectiveState selected;
        state_.for_each([&](const Record& record) {
            if (is_selected(record))
                selected.update(record);
        });
        writer_.begin_with(selected);
    }

    bool is_selected(const Record& record) {
        if (selection_.selects_all())
            return true;
        if (std::holds_alternative<TimerFired>(record.body) || std::holds_alternative<TimerSet>(record.body))
            return false;
        const auto request = request_of(record.body);
        if (!request)
            return true;
        if (*request != 0)
            return requests_.contains(record.router_index, *request);
        // The response is the last record of a request that was not admitted.
        const std::uint64_t number = std::holds_alternative<ResponseSent>(record.body)
                                         ? numbering_.next_not_admitted(record.router_index)
                                         : numbering_.current_not_admitted(record.router_index);
        return requests_.contains(record.router_index, number);
    }

    const Selection& selection_;
    const RequestSet& requests_;
    TraceWriter& writer_;
    EffectiveState state_;
    RequestNumbering numbering_;
    bool begun_ = false;
    std::uint64_t records_ = 0;
};

}  // namespace

CutResult cut(TraceReader& reader, const Selection& selection, ByteSink& output, const Progress& progress) {
    SelectedRequests requests;
    if (!selection.selects_all())
        requests = select_requests(reader, selection);
    TraceWriter writer{output, reader.flags() | kCut, reader.created_unix_ns()};
    Cutter cutter{selection, requests.set, writer};
    ProgressReporter reporter{progress, record_count(reader)};
    reader.for_each(read_options(selection),
                    [&](const Record& record, bool from_snapshot, const EffectiveState&) {
                        reporter.add_record();
                        cutter.add(record, from_snapshot);
                        return true;
                    });
    writer.close();
    return {cutter.records(), requests.count};
}

}  // namespace silverrail::trace

#include "trace/tools/show.h"

#include <algorithm>
#include <cstdlib>

#include "trace/model/effective_state.h"

namespace silverrail::trace {

using namespace model;

namespace {

// The last records of a request may be this much later than the selected time.
constexpr std::int64_t kTailNs = 60'000'000'000;

std::int64_t saturated_sum(std::int64_t a, std::int64_t b) {
    std::int64_t out = 0;
    if (!__builtin_add_overflow(a, b, &out))
        return out;
    return b > 0 ? std::numeric_limits<std::int64_t>::max() : std::numeric_limits<std::int64_t>::min();
}

std::uint64_t client_request_key(const std::string& id) {
    char* end = nullptr;
    const auto number = std::strtoull(id.c_str(), &end, 16);
    return id.size() == 16 && !*end ? request_key(number, {}) : request_key(0, id);
}

// A request's id and object are in the filter of every chunk in which it is open, so that the others contain
// nothing of it.
bool may_contain_selected(const Selection& selection, const ReadOptions::MayContain& may_contain) {
    const auto matches_any = [](const auto& list, auto predicate) {
        return list.empty() || std::any_of(list.begin(), list.end(), predicate);
    };
    return matches_any(selection.client_request_ids,
                       [&](const std::string& id) { return may_contain(client_request_key(id)); }) &&
           matches_any(selection.objects,
                       [&](std::uint64_t object) { return may_contain(object_key(object)); });
}

ReadOptions read_options(const Selection& selection) {
    ReadOptions options;
    options.track_state = false;
    options.types = ~types_of<TimerFired, TimerSet, ServerListChanged, ServerListEntry, PurgeReceived>();
    options.from_unix_ns = selection.from_unix_ns;
    options.to_unix_ns = saturated_sum(selection.to_unix_ns, kTailNs);
    if (!selection.client_request_ids.empty() || !selection.objects.empty())
        options.chunk_filter = [&selection](const ChunkSummary&, const ReadOptions::MayContain& may_contain) {
            return may_contain_selected(selection, may_contain);
        };
    return options;
}

// Selects complete requests and shows them.
class Shower {
public:
    Shower(const Selection& selection, const ShowRequest& show_request)
        : selection_(selection), show_request_(show_request) {}

    void add(const Record& record, bool from_snapshot) {
        routers_.update(record);
        if (std::holds_alternative<RouterStarted>(record.body) ||
            std::holds_alternative<ClockSample>(record.body))
            clocks_.update(record);
        timelines_.add(record, from_snapshot);
    }

    std::uint64_t finish() {
        timelines_.finish();
        return shown_;
    }

private:
    bool overlaps_selected_time(const RequestTimeline& timeline) const {
        const auto unix_ns = [&](std::int64_t at, std::int64_t if_absent) {
            return at == kNoTime ? if_absent : clocks_.unix_ns(timeline.router_index, at);
        };
        return unix_ns(timeline.received_at, selection_.from_unix_ns) < selection_.to_unix_ns &&
               unix_ns(timeline.closed_at, selection_.to_unix_ns) >= selection_.from_unix_ns;
    }

    void on_complete(const RequestTimeline& timeline) {
        if (!overlaps_selected_time(timeline) || !selection_.matches(timeline, routers_.class_name(timeline)))
            return;
        ++shown_;
        show_request_(timeline, names_);
    }

    const Selection& selection_;
    const ShowRequest& show_request_;
    RouterDirectory routers_;
    EffectiveState clocks_;  // fed with starts and clocks only
    const Names names_{[this](std::uint32_t router) { return routers_.name(router); },
                       [this](std::uint32_t router, std::uint64_t class_index) {
                           return routers_.class_name(router, class_index);
                       },
                       [this](std::uint32_t router, std::int64_t at) {
                           return clocks_.unix_ns(router, at);
                       }};
    TimelineBuilder timelines_{[this](const RequestTimeline& timeline) {
        on_complete(timeline);
    }};
    std::uint64_t shown_ = 0;
};

}  // namespace

std::uint64_t show(TraceReader& reader, const Selection& selection, const ShowRequest& show_request,
                   const Progress& progress) {
    Shower shower{selection, show_request};
    ProgressReporter reporter{progress, record_count(reader)};
    reader.for_each(read_options(selection),
                    [&](const Record& record, bool from_snapshot, const EffectiveState&) {
                        reporter.add_record();
                        shower.add(record, from_snapshot);
                        return true;
                    });
    return shower.finish();
}

}  // namespace silverrail::trace

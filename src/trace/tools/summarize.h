// Sums up the requests of traces by class, over intervals of time.
#pragma once

#include <string>
#include <vector>

#include "trace/model/request_summary.h"
#include "trace/tools/tool.h"

namespace silverrail::trace {

struct TraceSummary {
    struct Interval {
        std::int64_t from_unix_ns = 0;
        model::RequestSummary requests;
    };
    std::vector<Interval> intervals;  // one if no length was given
    std::uint64_t records = 0;
    std::uint64_t list_changes = 0;
    std::uint64_t purges = 0;
    std::uint64_t gaps = 0;
    std::uint64_t missing_records = 0;  // according to gaps
    std::int64_t first_unix_ns = 0;
    std::int64_t last_unix_ns = 0;
};

class Summarizer {
public:
    static constexpr std::size_t kMaxIntervals = 100'000;
    // 0: all in one interval.
    explicit Summarizer(std::int64_t interval_ns = 0) : interval_ns_(interval_ns) {}
    Summarizer(const Summarizer&) = delete;  // the summaries refer to its routers
    Summarizer& operator=(const Summarizer&) = delete;
    // Throws IoError, and ToolError for too many intervals.
    void add(TraceReader& reader, const Progress& progress = {});
    const TraceSummary& result() const {
        return result_;
    }

private:
    class Pass;
    model::RequestSummary& find_or_add_interval(std::int64_t unix_ns);
    void add_totals(const TraceReader& reader);

    std::int64_t interval_ns_;
    RouterDirectory routers_;
    std::map<std::int64_t, std::size_t> interval_places_;  // by begin
    TraceSummary result_;
};

Json::Value json_of(const TraceSummary& summary);
std::string text_of(const TraceSummary& summary);

}  // namespace silverrail::trace

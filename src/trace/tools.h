// What the trace tools do, on byte sources and sinks; `src/cli/trace.cpp` puts them on the command line.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "silverrail/routing/router.h"
#include "trace/format/trace_reader.h"
#include "trace/format/trace_writer.h"
#include "trace/json.h"
#include "trace/model/clock_offset.h"
#include "trace/model/request_summary.h"
#include "trace/model/selection.h"

namespace silverrail::trace {

// A tool can't do what was asked, for a reason that is no fault of a file.
struct ToolError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads settings out of a trace's start. Settings that can't be read are none: names are numbers then.
routing::Settings settings_of(std::string_view config_json);  // throws config::ConfigError

// The routers of a trace as they start; fed all records.
class Routers {
public:
    void take(const Record& record);
    std::string name(std::uint32_t source) const;
    std::string class_name(std::uint32_t source, std::uint64_t class_index) const;
    // The class's aim for a call of that size, ns; 0: not known.
    std::int64_t latency_objective(std::uint32_t source, std::uint64_t class_index, double size_kb) const;
    struct Router {
        std::string name;
        std::int64_t incarnation_unix_ns = 0;
        routing::Settings settings;
        bool settings_read = false;
    };
    const std::map<std::uint32_t, Router>& all() const {
        return routers_;
    }

private:
    std::map<std::uint32_t, Router> routers_;
    std::map<std::uint32_t, std::string> read_from_;  // settings are read once
};

// Told how far a tool has come, 0 to 1, now and then.
using Progress = std::function<void(double)>;

// Calls that the selection wants, each with its attempts, as they end. Returns how many.
std::uint64_t show(TraceReader& reader, const model::Selection& selection,
                   const std::function<void(const model::RequestTimeline&, const Names&)>& f,
                   const Progress& progress = {});

struct CutResult {
    std::uint64_t records = 0;
    std::uint64_t calls = 0;  // wanted, where the selection is not of all
};
CutResult cut(TraceReader& reader, const model::Selection& selection, ByteSink& to,
              const Progress& progress = {});

struct MergeInput {
    std::string name;  // for messages
    TraceReader* reader;
};
struct MergedSource {
    std::string router;
    std::int64_t incarnation_unix_ns = 0;
    std::vector<std::string> files;
    model::ClockOffsetEstimate estimate;
    bool reference = false;
    std::string borrowed;  // the estimate is that of this router's other run
};
struct MergeResult {
    std::vector<MergedSource> sources;
    std::uint64_t records = 0;
};
// `given`: offsets to add, in ms, by router name. Throws ToolError where one is neither given nor to be had.
MergeResult merge(const std::vector<MergeInput>& inputs, const std::map<std::string, double>& given,
                  ByteSink& to, const Progress& progress = {});

struct StripOptions {
    std::string key;  // 32 bytes
    bool objects = false;
    std::int64_t shift_ns = 0;
};
struct StripResult {
    std::uint64_t records = 0;
    std::uint64_t clients = 0;  // different ones
};
StripResult strip(TraceReader& reader, const StripOptions& options, ByteSink& to,
                  const Progress& progress = {});

struct SummaryResult {
    struct Interval {
        std::int64_t from_unix_ns = 0;
        model::RequestSummary summary;
    };
    std::vector<Interval> intervals;  // one where none were asked for
    std::uint64_t records = 0;
    std::uint64_t lists = 0;
    std::uint64_t purges = 0;
    std::uint64_t gaps = 0;
    std::uint64_t missing = 0;  // records, as gaps tell
    std::int64_t first_unix_ns = 0;
    std::int64_t last_unix_ns = 0;
};
class Summarizer {
public:
    static constexpr std::size_t kMostIntervals = 100'000;
    explicit Summarizer(std::int64_t every_ns = 0) : every_ns_(every_ns) {}
    Summarizer(const Summarizer&) = delete;  // its tallies ask its routers
    Summarizer& operator=(const Summarizer&) = delete;
    void add(TraceReader& reader, const Progress& progress = {});
    const SummaryResult& result() const {
        return result_;
    }

private:
    std::int64_t every_ns_;
    Routers routers_;
    SummaryResult result_;
};
Json::Value json_of(const SummaryResult& result);
std::string text_of(const SummaryResult& result);

}  // namespace silverrail::trace

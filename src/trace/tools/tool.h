// What the tools on traces share: errors, progress, and the names of routers and classes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "silverrail/routing/router.h"
#include "trace/format/trace_reader.h"
#include "trace/model/effective_state.h"
#include "trace/output/timeline_output.h"

namespace silverrail::trace {

// A tool can't do what was asked, for a reason other than a fault of a file.
struct ToolError : TraceError {
    using TraceError::TraceError;
};

// Called now and then with the completed fraction, 0 to 1. May be empty.
using Progress = std::function<void(double)>;

// Calls `Progress` once every few thousand records.
class ProgressReporter {
public:
    // `progress` must outlive the reporter.
    ProgressReporter(const Progress& progress, std::uint64_t total_records);
    void add_record();

private:
    const Progress& progress_;
    std::uint64_t total_;
    std::uint64_t done_ = 0;
};

// Records of a trace, without its snapshots.
std::uint64_t record_count(const TraceReader& reader);

// Parses the settings of a `RouterStarted` record. Throws config::ConfigError.
routing::Settings parse_settings(std::string_view config_json);

// The routers of a trace by their `RouterStarted` records.
class RouterDirectory {
public:
    struct Router {
        std::string name;
        std::int64_t incarnation_unix_ns = 0;
        routing::Settings settings;
        bool has_settings = false;  // false: they could not be parsed, and classes have no names
    };

    // Ignores records of other types.
    void update(const Record& record);
    std::string name(std::uint32_t router_index) const;
    std::string class_name(std::uint32_t router_index, std::uint64_t class_index) const;
    // Of the request's class; a placeholder if its arrival was not seen.
    std::string class_name(const model::RequestTimeline& timeline) const;
    // The latency objective for a request of that class and size in ns; 0 if unknown.
    std::int64_t latency_objective(std::uint32_t router_index, std::uint64_t class_index,
                                   double size_kb) const;
    const std::map<std::uint32_t, Router>& all() const {
        return routers_;
    }

private:
    const Router* find(std::uint32_t router_index) const;
    std::map<std::uint32_t, Router> routers_;
    std::map<std::uint32_t, std::string> parsed_settings_;  // as text, so that they are parsed once
};

// Passed as the class of a request whose arrival was not seen.
inline constexpr const char* kUnseenClass = "(taken earlier)";

}  // namespace silverrail::trace

// `silverrail trace merge`: merges the traces of several routers.
#include "trace/tools/merge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cli/trace/command.h"
#include "config/config.h"
#include "config/number.h"
#include "trace/output/value_text.h"

namespace silverrail::cli {

namespace {

using trace::MergedRouter;
using trace::model::ClockOffsetEstimate;

// Above this the minimum delays of copies contradict an estimate by purges.
constexpr double kMaxDelayDifferenceNs = 200e6;
constexpr double kMaxOffsetMs = 1e12;

struct Options {
    std::vector<std::string> paths;
    std::string output;
    std::vector<std::string> offsets;
    bool json = false;
};

// Router names and offsets in ms, from NAME=MS.
std::map<std::string, double> parse_offsets(const std::vector<std::string>& arguments) {
    std::map<std::string, double> offsets;
    for (const std::string& argument : arguments) {
        const auto separator = argument.rfind('=');
        if (separator == std::string::npos || separator == 0)
            throw UsageError("--offset takes NAME=MS: " + argument);
        const auto ms = config::parse_number<double>(std::string_view{argument}.substr(separator + 1));
        if (!ms || !(std::abs(*ms) < kMaxOffsetMs))
            throw UsageError("not a number of ms: " + argument);
        offsets[argument.substr(0, separator)] = *ms;
    }
    return offsets;
}

const char* basis_name(const MergedRouter& router) {
    if (router.is_reference)
        return "reference";
    switch (router.estimate.basis) {
        case ClockOffsetEstimate::Basis::reference:
            return "reference";
        case ClockOffsetEstimate::Basis::purges:
            return "purges";
        case ClockOffsetEstimate::Basis::copies:
            return "copies";
        case ClockOffsetEstimate::Basis::given:
            return "given";
    }
    return "";
}

Json::Value json_of(const MergedRouter& router) {
    const ClockOffsetEstimate& estimate = router.estimate;
    Json::Value out;
    out["name"] = router.router_name;
    out["started"] = trace::time_text(router.incarnation_unix_ns);
    out["add_ms"] = estimate.offset_ns / 1e6;
    out["at"] = estimate.at_unix_ns ? Json::Value{trace::time_text(estimate.at_unix_ns)} : Json::Value{};
    out["drift_ppm"] = -estimate.drift * 1e6;
    out["uncertainty_ms"] = estimate.uncertainty_ns / 1e6;
    out["from"] = basis_name(router);
    out["shared"] = json_number(estimate.shared);
    out["trimmed"] = json_number(estimate.trimmed);
    if (estimate.min_delay_difference_ns)
        out["order_gap_ms"] = *estimate.min_delay_difference_ns / 1e6;
    if (!router.borrowed_from.empty())
        out["borrowed_from_start"] = router.borrowed_from;
    for (const std::string& file : router.files)
        out["files"].append(file);
    return out;
}

void print_estimate(std::FILE* out, const MergedRouter& router) {
    const ClockOffsetEstimate& estimate = router.estimate;
    std::fprintf(out, " +- %.3f ms, its clock runs %+.1f ppm; from %zu %s (%zu left out)%s%s\n",
                 estimate.uncertainty_ns / 1e6, -estimate.drift * 1e6, estimate.shared, basis_name(router),
                 estimate.trimmed, router.borrowed_from.empty() ? "" : ", borrowed from its run of ",
                 router.borrowed_from.c_str());
    if (estimate.min_delay_difference_ns &&
        std::abs(*estimate.min_delay_difference_ns) > kMaxDelayDifferenceNs)
        std::fprintf(out, "    but the quickest copies come %+.0f ms apart: do not trust it\n",
                     *estimate.min_delay_difference_ns / 1e6);
}

void print_text(std::FILE* out, const trace::MergeResult& result) {
    for (const MergedRouter& router : result.routers) {
        std::fprintf(out, "%s (started %s): %+.3f ms", router.router_name.c_str(),
                     trace::time_text(router.incarnation_unix_ns).c_str(), router.estimate.offset_ns / 1e6);
        if (router.is_reference)
            std::fputs(", the reference\n", out);
        else if (router.estimate.basis == ClockOffsetEstimate::Basis::given)
            std::fputs(", as given\n", out);
        else
            print_estimate(out, router);
    }
    std::fprintf(out, "%llu records\n", printable(result.records));
}

void print_json(std::FILE* out, const trace::MergeResult& result) {
    Json::Value json;
    json["records"] = json_number(result.records);
    json["routers"] = Json::Value{Json::arrayValue};
    for (const MergedRouter& router : result.routers)
        json["routers"].append(json_of(router));
    std::fprintf(out, "%s\n", config::json_line(json).c_str());
}

int merge(const Options& options) {
    const auto offsets = parse_offsets(options.offsets);
    std::vector<std::unique_ptr<InputFile>> files;
    std::vector<trace::MergeInput> inputs;
    for (const std::string& path : options.paths) {
        files.push_back(std::make_unique<InputFile>(path));
        inputs.push_back({path, &files.back()->reader()});
    }
    trace::FileSink output{options.output};
    ProgressBar bar;
    const trace::MergeResult result = trace::merge(inputs, offsets, output, bar.callback());
    // Standard output may be the merged trace itself.
    std::FILE* out = options.output == "-" ? stderr : stdout;
    if (options.json)
        print_json(out, result);
    else
        print_text(out, result);
    int code = kSuccess;
    for (const auto& file : files)
        code = std::max(code, file->report_damage());
    return code;
}

}  // namespace

void add_merge(const TraceCommands& commands) {
    CLI::App& command_line =
        commands.add("merge", "one trace of several routers, their clocks brought together",
                     "merge n1.slt n2.slt -o all.slt");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->paths)->required();
    command_line.add_option("-o,--output", options->output)->required();
    command_line.add_option("--offset", options->offsets,
                            "NAME=MS: add this to that router's times; no estimate is made");
    command_line.add_flag("--json", options->json);
    commands.run(command_line, [options] { return merge(*options); });
}

}  // namespace silverrail::cli

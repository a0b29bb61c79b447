// `silverrail trace synth`: makes synthetic traces.
#include <cstdio>

#include "cli/trace/command.h"
#include "config/config.h"
#include "lab/synthetic_trace/synthetic_trace.h"

namespace silverrail::cli {

namespace {

struct Options {
    std::string output;
    std::string truth_file;
    lab::SyntheticTracePlan plan;
};

// `path` with the router's name, and its incarnation from the second on, before the extension.
std::string path_of_process(const std::string& path, const lab::RouterProcess& process) {
    const auto dot = path.rfind('.');
    const auto slash = path.rfind('/');
    const bool has_extension = dot != std::string::npos && (slash == std::string::npos || dot > slash);
    std::string name = (has_extension ? path.substr(0, dot) : path) + "-" + process.router_name;
    if (process.incarnation > 1)
        name += "-" + std::to_string(process.incarnation);
    return name + (has_extension ? path.substr(dot) : "");
}

Json::Value json_of(const lab::SyntheticTrace& trace) {
    Json::Value out;
    out["file"] = trace.file;
    out["router"] = trace.router_name;
    out["started_unix_ns"] = Json::Value{Json::Int64{trace.incarnation_unix_ns}};
    out["ahead_ms"] = trace.clock_error.offset_ms;
    out["drift_ppm"] = trace.clock_error.drift_ppm;
    out["calls"] = json_number(trace.requests);
    return out;
}

std::vector<lab::SyntheticTrace> generate(const Options& options) {
    std::vector<std::unique_ptr<trace::FileSink>> files;
    const auto open_file = [&](const lab::RouterProcess& process) -> lab::TraceOutput {
        const bool single = options.plan.routers == 1 && process.incarnation == 1;
        std::string path = single ? options.output : path_of_process(options.output, process);
        files.push_back(std::make_unique<trace::FileSink>(path));
        return {*files.back(), std::move(path)};
    };
    ProgressBar bar;
    return lab::generate_synthetic_traces(options.plan, open_file, bar.callback());
}

int synthesize(const Options& options) {
    if (options.plan.routers > 1 && options.output == "-")
        throw UsageError("several routers make several files: -o takes a name");
    Json::Value json{Json::arrayValue};
    for (const lab::SyntheticTrace& trace : generate(options)) {
        json.append(json_of(trace));
        std::fprintf(stderr, "%s: %llu calls\n", trace.file.c_str(), printable(trace.requests));
    }
    if (!options.truth_file.empty()) {
        trace::FileSink file{options.truth_file};
        file.write(config::json_line(json) + "\n");
    }
    return kSuccess;
}

}  // namespace

void add_synth(const TraceCommands& commands) {
    CLI::App& command_line =
        commands.add("synth", "makes synthetic traces",
                     "synth -o h.slt --seconds 3600 --rate 950 --routers 2 --skew 1000 --seed 7");
    const auto options = std::make_shared<Options>();
    lab::SyntheticTracePlan& plan = options->plan;
    command_line
        .add_option("-o,--output", options->output, "with several routers, each one's name is put in")
        ->required();
    command_line.add_option("--seconds", plan.duration_s);
    command_line.add_option("--rate", plan.requests_per_s, "calls a second at each router");
    command_line.add_option("--routers", plan.routers);
    command_line.add_option("--skew", plan.max_skew_ms, "clocks are up to so many ms off");
    command_line.add_option("--drift", plan.max_drift_ppm, "and run up to so many ppm fast or slow");
    command_line.add_option("--seed", plan.seed);
    command_line.add_flag("--restart", plan.restart, "the second router dies half-way and comes back");
    command_line.add_option("--truth", options->truth_file, "writes what the clocks were, as JSON");
    commands.run(command_line, [options] { return synthesize(*options); });
}

}  // namespace silverrail::cli

// `silverrail trace synth`: makes synthetic traces.
#include "trace/synth.h"

#include <cstdio>

#include "cli/trace/command.h"
#include "config/config.h"

namespace silverrail::cli {

namespace {

struct Options {
    std::string output;
    std::string truth_file;
    trace::SynthPlan plan;
};

// `path` with the router's name, and the number of its run from the second on, before the extension.
std::string path_of_run(const std::string& path, const std::string& router, int run) {
    const auto dot = path.rfind('.');
    const auto slash = path.rfind('/');
    const bool has_extension = dot != std::string::npos && (slash == std::string::npos || dot > slash);
    std::string name = (has_extension ? path.substr(0, dot) : path) + "-" + router;
    if (run > 1)
        name += "-" + std::to_string(run);
    return name + (has_extension ? path.substr(dot) : "");
}

Json::Value json_of(const trace::SynthTruth& truth) {
    Json::Value out;
    out["file"] = truth.file;
    out["router"] = truth.router;
    out["started_unix_ns"] = Json::Value{Json::Int64{truth.incarnation_unix_ns}};
    out["ahead_ms"] = truth.ahead_ms;
    out["drift_ppm"] = truth.drift_ppm;
    out["calls"] = json_number(truth.calls);
    return out;
}

std::vector<trace::SynthTruth> generate(const Options& options) {
    std::vector<std::unique_ptr<trace::FileSink>> files;
    const auto open_file = [&](int, const std::string& router, int run,
                               std::string& path) -> trace::ByteSink& {
        path =
            options.plan.routers == 1 && run == 1 ? options.output : path_of_run(options.output, router, run);
        files.push_back(std::make_unique<trace::FileSink>(path));
        return *files.back();
    };
    ProgressBar bar;
    return trace::synth(options.plan, open_file, bar.callback());
}

int synthesize(const Options& options) {
    if (options.plan.routers > 1 && options.output == "-")
        throw UsageError("several routers make several files: -o takes a name");
    Json::Value json{Json::arrayValue};
    for (const trace::SynthTruth& truth : generate(options)) {
        json.append(json_of(truth));
        std::fprintf(stderr, "%s: %llu calls\n", truth.file.c_str(), printable(truth.calls));
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
    trace::SynthPlan& plan = options->plan;
    command_line
        .add_option("-o,--output", options->output, "with several routers, each one's name is put in")
        ->required();
    command_line.add_option("--seconds", plan.seconds);
    command_line.add_option("--rate", plan.rate, "calls a second at each router");
    command_line.add_option("--routers", plan.routers);
    command_line.add_option("--skew", plan.skew_ms, "clocks are up to so many ms off");
    command_line.add_option("--drift", plan.drift_ppm, "and run up to so many ppm fast or slow");
    command_line.add_option("--seed", plan.seed);
    command_line.add_flag("--restart", plan.restart, "the second router dies half-way and comes back");
    command_line.add_option("--truth", options->truth_file, "writes what the clocks were, as JSON");
    commands.run(command_line, [options] { return synthesize(*options); });
}

}  // namespace silverrail::cli

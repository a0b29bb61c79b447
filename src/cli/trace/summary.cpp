// `silverrail trace summary`: counts and latencies by class and outcome.
#include <algorithm>
#include <cstdio>

#include "cli/trace/command.h"
#include "trace/tools/summarize.h"

namespace silverrail::cli {

namespace {

struct Options {
    std::vector<std::string> paths;
    std::string interval;
    bool json = false;
};

int summarize(const Options& options) {
    trace::Summarizer summarizer{options.interval.empty() ? 0 : parse_duration(options.interval)};
    int code = kSuccess;
    ProgressBar bar;
    for (const std::string& path : options.paths) {
        InputFile input{path};
        summarizer.add(input.reader(), bar.callback());
        code = std::max(code, input.report_damage());
    }
    if (options.json)
        print(trace::json_of(summarizer.result()));
    else
        std::fputs(trace::text_of(summarizer.result()).c_str(), stdout);
    return code;
}

}  // namespace

void add_summary(const TraceCommands& commands) {
    CLI::App& command_line =
        commands.add("summary", "counts and times by class and outcome", "summary n1.slt --every 10s --json");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->paths)->required();
    command_line.add_option("--every", options->interval, "a table for each such interval");
    command_line.add_flag("--json", options->json);
    commands.run(command_line, [options] { return summarize(*options); });
}

}  // namespace silverrail::cli

// `silverrail trace show`: lists requests with their attempts.
#include "trace/tools/show.h"

#include <cstdio>

#include "cli/trace/selection_options.h"

namespace silverrail::cli {

namespace {

struct Options {
    std::string path;
    bool json = false;
    SelectionOptions selection;
};

int show(const Options& options) {
    InputFile input{options.path};
    ProgressBar bar;
    trace::show(
        input.reader(), options.selection.selection(input.reader()),
        [&options](const trace::model::RequestTimeline& timeline, const trace::Names& names) {
            if (options.json)
                print(trace::json_of(timeline, names));
            else
                std::fputs(trace::text_of(timeline, names).c_str(), stdout);
        },
        options.json ? bar.callback() : trace::Progress{});
    return input.report_damage();
}

}  // namespace

void add_show(const TraceCommands& commands) {
    CLI::App& command_line = commands.add("show", "calls with their attempts in order",
                                          "show n1.slt --from +10s --to +12s --outcome refused");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->path)->required();
    command_line.add_flag("--json", options->json, "a line of JSON for each call");
    options->selection.add_to(command_line);
    commands.run(command_line, [options] { return show(*options); });
}

}  // namespace silverrail::cli

// `silverrail trace cut`: copies a part of a trace.
#include "trace/tools/cut.h"

#include <cstdio>

#include "cli/trace/selection_options.h"

namespace silverrail::cli {

namespace {

struct Options {
    std::string path;
    std::string output;
    SelectionOptions selection;
};

int cut(const Options& options) {
    InputFile input{options.path};
    const auto selection = options.selection.selection(input.reader());
    trace::FileSink output{options.output};
    ProgressBar bar;
    const trace::CutResult result = trace::cut(input.reader(), selection, output, bar.callback());
    std::fprintf(stderr, "%llu records", printable(result.records));
    if (!selection.selects_all())
        std::fprintf(stderr, " of %llu calls", printable(result.requests));
    std::fputc('\n', stderr);
    return input.report_damage();
}

}  // namespace

void add_cut(const TraceCommands& commands) {
    CLI::App& command_line = commands.add("cut", "keeps a part, so that it stands alone",
                                          "cut day.slt -o noon.slt --from +3600s --to +3610s");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->path)->required();
    command_line.add_option("-o,--output", options->output)->required();
    options->selection.add_to(command_line);
    commands.run(command_line, [options] { return cut(*options); });
}

}  // namespace silverrail::cli

#include "cli/trace/trace.h"

#include "cli/trace/command.h"

namespace silverrail::cli {

void add_trace(CLI::App& app, int& code) {
    CLI::App* group = app.add_subcommand("trace", "tools on trace files");
    group->require_subcommand(1);
    const TraceCommands commands{*group, code};
    add_info(commands);
    add_verify(commands);
    add_show(commands);
    add_cut(commands);
    add_merge(commands);
    add_strip(commands);
    add_summary(commands);
    add_replay(commands);
    add_synth(commands);
}

}  // namespace silverrail::cli

// `silverrail trace replay`: repeats the recorded decisions with this program's decision module, and compares
// them.
#include "trace/replay/replay.h"

#include <algorithm>
#include <cstdio>

#include "cli/trace/command.h"
#include "trace/tools/show.h"

namespace silverrail::cli {

namespace {

using trace::Replay;

struct Options {
    std::vector<std::string> paths;
    bool diff = false;
    bool json = false;
};

// Feeds all files to the replay; returns the exit code of their damage.
int read_files(const Options& options, Replay& replay) {
    int code = kSuccess;
    bool complete = true;
    for (const std::string& path : options.paths) {
        InputFile input{path};
        if (input.reader().flags() & trace::kCut && !replay.events())
            throw trace::ToolError(
                path + ": cut, or begun after its router's start: what the module knew then is not in it");
        trace::ReadOptions read_options;
        read_options.track_state = false;
        input.reader().for_each(read_options, [&replay](const trace::Record& record, bool from_snapshot,
                                                        const trace::model::EffectiveState&) {
            return from_snapshot || replay.add(record);
        });
        complete = input.reader().indexed();
        code = std::max(code, input.report_damage());
    }
    replay.finish(complete);
    return code;
}

void print_json(const Replay& replay) {
    Json::Value out;
    out["events"] = json_number(replay.events());
    out["decisions"] = json_number(replay.decisions());
    out["differences"] = json_number(replay.differing_events());
    if (replay.stop())
        out["stopped"] = describe(*replay.stop());
    out["by_class"] = Json::Value{Json::objectValue};
    for (const auto& [category, count] : replay.differences())
        out["by_class"][category.class_name][name_of(category.kind)] = json_number(count);
    if (const auto& first = replay.first_difference()) {
        out["first"]["event"] = json_number(first->event_number);
        out["first"]["recorded"] = first->recorded_action;
        out["first"]["now"] = first->replayed_action;
    }
    print(out);
}

void print_text(const Replay& replay, bool diff) {
    const auto& first = replay.first_difference();
    if (!first) {
        std::printf("%llu events, %llu decisions, all the same\n", printable(replay.events()),
                    printable(replay.decisions()));
        return;
    }
    std::printf("%llu events, %llu decisions, %llu events answered otherwise%s\n", printable(replay.events()),
                printable(replay.decisions()), printable(replay.differing_events()),
                diff ? "" : ": stopped at the first");
    std::printf("first: event %llu, %s, call %llu\n    recorded: %s\n    now:      %s\n",
                printable(first->event_number), name_of(first->kind), printable(first->request),
                first->recorded_action.c_str(), first->replayed_action.c_str());
    for (const auto& [category, count] : replay.differences())
        std::printf("%-16s %-32s %llu\n", category.class_name.c_str(), name_of(category.kind),
                    printable(count));
}

// Prints the request of the first difference as it was recorded.
void print_request(const Options& options, const trace::DecisionDifference& difference) {
    for (const std::string& path : options.paths) {
        InputFile input{path};
        trace::show(input.reader(), {},
                    [&](const trace::model::RequestTimeline& timeline, const trace::Names& names) {
                        if (!options.json && timeline.request == difference.request &&
                            timeline.router_index == difference.router_index)
                            std::fputs(trace::text_of(timeline, names).c_str(), stdout);
                    });
    }
}

int replay_files(const Options& options) {
    const auto mode = options.diff ? trace::ReplayMode::continue_after_difference
                                   : trace::ReplayMode::stop_at_first_difference;
    Replay replay{trace::parse_settings, mode};
    const int code = read_files(options, replay);
    if (options.json)
        print_json(replay);
    else
        print_text(replay, options.diff);
    const auto& first = replay.first_difference();
    if (first && first->request != 0)
        print_request(options, *first);
    if (replay.stop())
        std::fprintf(stderr, "compared up to there: %s\n", describe(*replay.stop()).c_str());
    if (first)
        return kDifferent;
    return replay.stop() ? std::max<int>(code, kDamaged) : code;
}

}  // namespace

void add_replay(const TraceCommands& commands) {
    CLI::App& command_line = commands.add("replay", "asks this build's decision module again, and compares",
                                          "replay n1.slt --diff");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->paths, "one router's files in order")->required();
    command_line.add_flag("--diff", options->diff,
                          "go on after the first difference, and sum up by class and kind");
    command_line.add_flag("--json", options->json);
    commands.run(command_line, [options] { return replay_files(*options); });
}

}  // namespace silverrail::cli

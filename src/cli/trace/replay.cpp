// `silverrail trace replay`: repeats the recorded decisions with this program's decision module, and compares
// them.
#include "trace/replay.h"

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
            return from_snapshot || replay.take(record);
        });
        complete = input.reader().indexed();
        code = std::max(code, input.report_damage());
    }
    replay.end(complete);
    return code;
}

void print_json(const Replay& replay) {
    Json::Value out;
    out["events"] = json_number(replay.events());
    out["decisions"] = json_number(replay.decisions());
    out["differences"] = json_number(replay.differences());
    if (replay.stopped())
        out["stopped"] = *replay.stopped();
    out["by_class"] = Json::Value{Json::objectValue};
    for (const auto& [key, count] : replay.sums())
        out["by_class"][key.first][Replay::name_of(key.second)] = json_number(count);
    if (const auto& first = replay.first()) {
        out["first"]["event"] = json_number(first->event);
        out["first"]["recorded"] = first->recorded;
        out["first"]["now"] = first->now;
    }
    print(out);
}

void print_text(const Replay& replay, bool diff) {
    const auto& first = replay.first();
    if (!first) {
        std::printf("%llu events, %llu decisions, all the same\n", printable(replay.events()),
                    printable(replay.decisions()));
        return;
    }
    std::printf("%llu events, %llu decisions, %llu events answered otherwise%s\n", printable(replay.events()),
                printable(replay.decisions()), printable(replay.differences()),
                diff ? "" : ": stopped at the first");
    std::printf("first: event %llu, %s, call %llu\n    recorded: %s\n    now:      %s\n",
                printable(first->event), Replay::name_of(first->difference), printable(first->request),
                first->recorded.c_str(), first->now.c_str());
    for (const auto& [key, count] : replay.sums())
        std::printf("%-16s %-32s %llu\n", key.first.c_str(), Replay::name_of(key.second), printable(count));
}

// Prints the request of the first difference as it was recorded.
void print_request(const Options& options, const Replay::Found& difference) {
    for (const std::string& path : options.paths) {
        InputFile input{path};
        trace::show(input.reader(), {},
                    [&](const trace::model::RequestTimeline& timeline, const trace::Names& names) {
                        if (!options.json && timeline.request == difference.request &&
                            timeline.router_index == difference.source)
                            std::fputs(trace::text_of(timeline, names).c_str(), stdout);
                    });
    }
}

int replay_files(const Options& options) {
    Replay replay{trace::parse_settings, options.diff};
    const int code = read_files(options, replay);
    if (options.json)
        print_json(replay);
    else
        print_text(replay, options.diff);
    const auto& first = replay.first();
    if (first && first->request != 0)
        print_request(options, *first);
    if (replay.stopped())
        std::fprintf(stderr, "compared up to there: %s\n", replay.stopped()->c_str());
    if (first)
        return kDifferent;
    return replay.stopped() ? std::max<int>(code, kDamaged) : code;
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

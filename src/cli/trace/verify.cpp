// `silverrail trace verify`: reads all of a file and names what is damaged.
#include <cstdio>

#include "cli/trace/command.h"

namespace silverrail::cli {

namespace {

int verify(const std::string& path) {
    InputFile input{path};
    std::uint64_t records = 0;
    input.reader().for_each(
        {}, [&records](const trace::Record&, bool from_snapshot, const trace::model::EffectiveState&) {
            records += !from_snapshot;
            return true;
        });
    const int code = input.report_damage();
    std::printf("%s: %s, %llu records read\n", path.c_str(), code ? "damaged" : "whole", printable(records));
    return code;
}

}  // namespace

void add_verify(const TraceCommands& commands) {
    CLI::App& command_line =
        commands.add("verify", "reads all of a file and names what is damaged", "verify n1.slt");
    const auto path = std::make_shared<std::string>();
    command_line.add_option("FILE", *path)->required();
    commands.run(command_line, [path] { return verify(*path); });
}

}  // namespace silverrail::cli

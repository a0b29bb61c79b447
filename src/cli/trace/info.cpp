// `silverrail trace info`: what files contain.
#include "trace/tools/info.h"

#include <algorithm>
#include <cstdio>

#include "cli/trace/command.h"
#include "trace/output/value_text.h"

namespace silverrail::cli {

namespace {

using trace::TraceInfo;
using trace::TraceReader;

struct Options {
    std::vector<std::string> paths;
    bool json = false;
    bool columns = false;
};

std::string version(const TraceReader& reader) {
    return std::to_string(trace::kMajorVersion) + "." + std::to_string(reader.minor());
}

void print_json(const std::string& path, const InputFile& input, const TraceReader& reader,
                const TraceInfo& info) {
    Json::Value out;
    out["file"] = path;
    out["version"] = version(reader);
    out["bytes"] = json_number(input.bytes());
    out["chunks"] = json_number(reader.chunks().size());
    out["records"] = json_number(info.records);
    out["from"] = trace::time_text(info.first_unix_ns);
    out["to"] = trace::time_text(info.last_unix_ns);
    out["whole"] = (reader.flags() & trace::kCut) == 0;
    out["merged"] = (reader.flags() & trace::kMerged) != 0;
    out["stripped"] = (reader.flags() & trace::kStripped) != 0;
    out["indexed"] = reader.indexed();
    out["damage"] = json_number(reader.damage().size());
    out["routers"] = Json::Value{Json::arrayValue};
    for (const auto& [router_index, router] : info.routers) {
        Json::Value json;
        json["source"] = router_index;
        json["name"] = router.name;
        json["started"] = trace::time_text(router.incarnation_unix_ns);
        out["routers"].append(json);
    }
    print(out);
}

void print_text(const std::string& path, const InputFile& input, const TraceReader& reader,
                const TraceInfo& info) {
    std::printf("%s: version %s, %llu bytes, %llu chunks, %llu records\n    %s to %s\n    %s%s%s%s\n",
                path.c_str(), version(reader).c_str(), printable(input.bytes()),
                printable(reader.chunks().size()), printable(info.records),
                trace::time_text(info.first_unix_ns).c_str(), trace::time_text(info.last_unix_ns).c_str(),
                reader.flags() & trace::kCut ? "cut" : "from its router's start",
                reader.flags() & trace::kMerged ? ", merged" : "",
                reader.flags() & trace::kStripped ? ", stripped" : "",
                reader.indexed() ? "" : ", without an index");
    for (const auto& [router_index, router] : info.routers)
        std::printf("    router %s, started %s\n", router.name.c_str(),
                    trace::time_text(router.incarnation_unix_ns).c_str());
}

int show_info(const Options& options) {
    int code = kSuccess;
    for (const std::string& path : options.paths) {
        InputFile input{path};
        const TraceInfo info = trace::describe(input.reader());
        if (options.json)
            print_json(path, input, input.reader(), info);
        else
            print_text(path, input, input.reader(), info);
        if (options.columns)
            for (const auto& [bytes, name] : trace::column_sizes(input.reader()))
                std::printf("%12llu  %s\n", printable(bytes), name.c_str());
        code = std::max(code, input.report_damage());
    }
    return code;
}

}  // namespace

void add_info(const TraceCommands& commands) {
    CLI::App& command_line = commands.add("info", "what files hold", "info n1-*.slt");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->paths, "trace files, or - for standard input")->required();
    command_line.add_flag("--json", options->json);
    command_line.add_flag("--columns", options->columns, "bytes that each column takes, the largest first");
    commands.run(command_line, [options] { return show_info(*options); });
}

}  // namespace silverrail::cli

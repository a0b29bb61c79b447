// `silverrail trace strip`: replaces clients by pseudonyms.
#include "trace/tools/strip.h"

#include <openssl/rand.h>

#include <cstdio>
#include <fstream>
#include <iterator>

#include "cli/trace/command.h"

namespace silverrail::cli {

namespace {

constexpr int kRandomKeyBytes = 32;
constexpr std::size_t kMinKeyBytes = 16;

struct Options {
    std::string path;
    std::string output;
    bool objects = false;
    std::string key_file;
    std::string shift;
};

std::string random_key() {
    std::string key(kRandomKeyBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(key.data()), kRandomKeyBytes) != 1)
        throw trace::ToolError("no random bytes to be had");
    return key;
}

std::string read_key(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file)
        throw trace::IoError(path + ": can't be read");
    std::string key{std::istreambuf_iterator<char>{file}, {}};
    if (key.size() < kMinKeyBytes)
        throw trace::ToolError(path + ": a key of under 16 bytes");
    return key;
}

int strip(const Options& options) {
    InputFile input{options.path};
    trace::StripOptions strip_options;
    strip_options.key = options.key_file.empty() ? random_key() : read_key(options.key_file);
    strip_options.objects = options.objects;
    if (!options.shift.empty())
        strip_options.shift_ns = parse_duration(options.shift);
    trace::FileSink output{options.output};
    ProgressBar bar;
    const trace::StripResult result = trace::strip(input.reader(), strip_options, output, bar.callback());
    std::fprintf(stderr, "%llu records, %llu clients\n", printable(result.records),
                 printable(result.clients));
    return input.report_damage();
}

}  // namespace

void add_strip(const TraceCommands& commands) {
    CLI::App& command_line = commands.add("strip", "puts pseudonyms in place of clients",
                                          "strip n1.slt -o for-others.slt --objects");
    const auto options = std::make_shared<Options>();
    command_line.add_option("FILE", options->path)->required();
    command_line.add_option("-o,--output", options->output)->required();
    command_line.add_flag("--objects", options->objects,
                          "objects get pseudonyms too; no replay is possible after that");
    command_line.add_option(
        "--key-file", options->key_file,
        "16 bytes or more: the same names over files; otherwise a key is drawn and thrown away");
    command_line.add_option("--shift", options->shift, "move all Unix times by this span, as -36h");
    commands.run(command_line, [options] { return strip(*options); });
}

}  // namespace silverrail::cli

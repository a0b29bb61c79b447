// What the sub-commands of `silverrail trace` share: exit codes, errors, input files, progress.
//
// Each sub-command has a file of its own with one function, which adds it to the command line. Options live
// in a `shared_ptr` that the callback holds, as long as the command line does.
#pragma once

#include <json/json.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>

#include "trace/format/trace_reader.h"
#include "trace/tools/tool.h"

namespace silverrail::cli {

enum ExitCode : int { kSuccess = 0, kFailed = 1, kUsage = 2, kDamaged = 3, kUnreadable = 4, kDifferent = 5 };

// A bad argument: exit code kUsage.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The group `trace`, and where a command's exit code goes.
struct TraceCommands {
    CLI::App& group;
    int& exit_code;

    CLI::App& add(const char* name, const char* description, const char* example) const;
    // Runs `command` when the sub-command is given, and maps exceptions to exit codes.
    void run(CLI::App& command_line, std::function<int()> command) const;
};

void add_info(const TraceCommands& commands);
void add_verify(const TraceCommands& commands);
void add_show(const TraceCommands& commands);
void add_cut(const TraceCommands& commands);
void add_merge(const TraceCommands& commands);
void add_strip(const TraceCommands& commands);
void add_summary(const TraceCommands& commands);
void add_replay(const TraceCommands& commands);
void add_synth(const TraceCommands& commands);

// An open trace file.
class InputFile {
public:
    // `-` is standard input. Throws trace::IoError and trace::Unreadable.
    explicit InputFile(const std::string& path);
    trace::TraceReader& reader() {
        return *reader_;
    }
    std::uint64_t bytes() const {
        return source_->size();
    }
    // Prints the damage found so far on standard error. Returns kDamaged if there is any, else kSuccess.
    int report_damage() const;

private:
    std::string path_;
    std::unique_ptr<trace::ByteSource> source_;
    std::unique_ptr<trace::TraceReader> reader_;
};

// Shows progress on standard error if that is a terminal, and erases it at the end.
class ProgressBar {
public:
    ProgressBar();
    ~ProgressBar();
    ProgressBar(const ProgressBar&) = delete;
    ProgressBar& operator=(const ProgressBar&) = delete;
    trace::Progress callback();

private:
    bool enabled_;
    bool shown_ = false;
};

// Prints one line on standard output.
void print(const Json::Value& json);

// A span of time such as 10s, 250ms or 1.5h in ns. Throws UsageError.
std::int64_t parse_duration(const std::string& text);

inline unsigned long long printable(std::uint64_t number) {
    return number;
}

inline Json::Value json_number(std::uint64_t number) {
    return Json::Value{Json::UInt64{number}};
}

}  // namespace silverrail::cli

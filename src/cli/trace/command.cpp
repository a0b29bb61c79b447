#include "cli/trace/command.h"

#include <unistd.h>

#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>

#include "config/config.h"

namespace silverrail::cli {

namespace {

int fail(const std::exception& error, ExitCode code) {
    std::fprintf(stderr, "%s\n", error.what());
    return code;
}

int run_guarded(const std::function<int()>& command) {
    try {
        return command();
    } catch (const UsageError& e) {
        return fail(e, kUsage);
    } catch (const std::invalid_argument& e) {
        return fail(e, kUsage);
    } catch (const trace::Unreadable& e) {
        return fail(e, kUnreadable);
    } catch (const std::exception& e) {
        return fail(e, kFailed);
    }
}

}  // namespace

CLI::App& TraceCommands::add(const char* name, const char* description, const char* example) const {
    CLI::App* command_line = group.add_subcommand(name, description);
    command_line->footer(std::string{"Example: silverrail trace "} + example);
    return *command_line;
}

void TraceCommands::run(CLI::App& command_line, std::function<int()> command) const {
    command_line.callback([&code = exit_code, command = std::move(command)] { code = run_guarded(command); });
}

InputFile::InputFile(const std::string& path) : path_(path), source_(trace::open_source(path)) {
    try {
        reader_ = std::make_unique<trace::TraceReader>(*source_);
    } catch (const trace::Unreadable& e) {
        throw trace::Unreadable(path + ": " + e.what());
    }
}

int InputFile::report_damage() const {
    for (const trace::Damage& damage : reader_->damage())
        std::fprintf(stderr, "%s: at %llu, %llu bytes: %s\n", path_.c_str(), printable(damage.offset),
                     printable(damage.bytes), damage.description.c_str());
    if (reader_->unknown_records())
        std::fprintf(stderr, "%s: %llu records of types that this program does not know were passed over\n",
                     path_.c_str(), printable(reader_->unknown_records()));
    return reader_->damage().empty() ? kSuccess : kDamaged;
}

ProgressBar::ProgressBar() : enabled_(::isatty(STDERR_FILENO) != 0) {}

ProgressBar::~ProgressBar() {
    if (shown_)
        std::fputs("\r          \r", stderr);
}

trace::Progress ProgressBar::callback() {
    if (!enabled_)
        return {};
    return [this](double fraction) {
        shown_ = true;
        std::fprintf(stderr, "\r%3.0f %%", std::min(1.0, fraction) * 100);
    };
}

void print(const Json::Value& json) {
    std::cout << config::json_line(json) << '\n';
}

std::int64_t parse_duration(const std::string& text) {
    static constexpr std::pair<std::string_view, double> kUnits[] = {{"ns", 1},  {"us", 1e3}, {"ms", 1e6},
                                                                     {"s", 1e9}, {"m", 60e9}, {"h", 3600e9}};
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const std::string_view unit{end, static_cast<std::size_t>(text.data() + text.size() - end)};
    double unit_ns = 0;
    for (const auto& [name, ns] : kUnits)
        if (unit == name)
            unit_ns = ns;
    if (error != std::errc{} || unit_ns == 0 || !(std::abs(value * unit_ns) < 9e18))
        throw UsageError("not a span of time (as 10s, 250ms, 1.5h): " + text);
    return static_cast<std::int64_t>(value * unit_ns);
}

}  // namespace silverrail::cli

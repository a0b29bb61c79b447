#include "app/commands.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <system_error>
#include <thread>

#include "app/control_part.h"
#include "app/endpoint.h"
#include "app/memory_monitor.h"
#include "app/program.h"
#include "store/read_file.h"

namespace silverrail::app {

namespace {

using namespace std::chrono_literals;

constexpr int kExitOk = 0;
constexpr int kExitFailedStart = 1;
constexpr int kExitBadSettings = 2;

// A start that fails for lack of a resource is tried again for this long.
constexpr auto kStartRetryPeriod = 6s;
constexpr auto kStartRetryDelay = 50ms;

// Reads all settings and makes the program, ready to run. Null if the operator's file has problems, which are
// logged.
std::unique_ptr<Program> start_program(const SettingsSources& sources) {
    auto config = config::load_config(sources.config_file);
    if (!sources.listen_override.empty())
        config.listen = sources.listen_override;
    if (!sources.control_override.empty())
        config.control = sources.control_override;
    const auto [settings, problems] =
        config::load_operator(sources.operator_file, sources.operator_file_required);
    for (const auto& problem : problems)
        Log{}.line("fatal", "%s", problem.text().c_str());
    if (!problems.empty())
        return nullptr;
    auto program = std::make_unique<Program>(sources, std::move(config), settings);
    program->start();
    return program;
}

// The errno value that an exception carries; 0 if none.
int errno_of(const std::exception& error) {
    if (const auto* of_asio = dynamic_cast<const boost::system::system_error*>(&error))
        return of_asio->code().category() == boost::system::system_category() ? of_asio->code().value() : 0;
    const auto* of_library = dynamic_cast<const std::system_error*>(&error);
    return of_library ? of_library->code().value() : 0;
}

// Descriptors, buffers or the address may be unavailable for a moment.
std::unique_ptr<Program> start_program_with_retries(const SettingsSources& sources) {
    const auto give_up_at = std::chrono::steady_clock::now() + kStartRetryPeriod;
    while (true) {
        try {
            return start_program(sources);
        } catch (const std::exception& error) {
            const bool temporary = store::is_transient(errno_of(error));
            if (!temporary || std::chrono::steady_clock::now() > give_up_at)
                throw;
            Log{}.line("start-retry", "%s", error.what());
        }
        std::this_thread::sleep_for(kStartRetryDelay);
    }
}

// What is wrong with the platform's configuration; empty if nothing is.
std::string config_problem(const SettingsSources& sources) {
    try {
        const auto config = config::load_config(sources.config_file);
        (void)endpoint_of(config.listen);
        const auto& control = sources.control_override.empty() ? config.control : sources.control_override;
        if (!control.empty())
            (void)control_endpoint(control);
        return {};
    } catch (const std::exception& e) {
        return sources.config_file + ": " + e.what();
    }
}

}  // namespace

int serve(const SettingsSources& sources) {
    try {
        std::signal(SIGPIPE, SIG_IGN);
        block_signals();
        configure_allocator();
        const auto program = start_program_with_retries(sources);
        if (!program)
            return kExitFailedStart;
        program->run();
        return kExitOk;
    } catch (const std::exception& e) {
        Log{}.line("fatal", "%s", e.what());
        return kExitFailedStart;
    }
}

int check(const SettingsSources& sources) {
    std::vector<std::string> problems;
    if (!sources.config_file.empty())
        if (const std::string problem = config_problem(sources); !problem.empty())
            problems.push_back(problem);
    const auto checked = config::load_operator(sources.operator_file, sources.operator_file_required);
    for (const auto& problem : checked.problems)
        problems.push_back(problem.text());
    for (const std::string& problem : problems)
        std::printf("%s\n", problem.c_str());
    if (!problems.empty())
        return kExitBadSettings;
    std::puts("all settings are good");
    return kExitOk;
}

}  // namespace silverrail::app

// The command line. Without a sub-command the program serves, as deploy/balancer.toml starts it.
#include "app/commands.h"
#include "cli/lab/lab.h"
#include "cli/trace/trace.h"

int main(int argc, char** argv) {
    namespace app = silverrail::app;
    CLI::App line{"silverrail, a request router. Without a sub-command it serves."};
    line.name("silverrail");
    line.require_subcommand(0, 1);
    int code = 0;
    const auto* serve = line.add_subcommand("serve", "serves, as EDGE_CONFIG says");
    auto* check = line.add_subcommand(
        "check", "reads all settings and says what is wrong, by path; exit 2 if anything is");
    auto sources = app::settings_sources_from_environment();
    check->add_option("--config", sources.config_file, "the platform's file, instead of EDGE_CONFIG");
    check->add_option_function<std::string>(
        "--settings",
        [&sources](const std::string& file) {
            sources.operator_file = file;
            sources.operator_file_required = true;
        },
        "the operator's file, instead of SILVERRAIL_SETTINGS");
    silverrail::cli::add_trace(line, code);
    silverrail::cli::add_lab(line, code);
    try {
        line.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return line.exit(e) == 0 ? 0 : 2;
    }
    if (line.got_subcommand(check))
        return app::check(sources);
    return line.get_subcommands().empty() || line.got_subcommand(serve) ? app::serve(sources) : code;
}

// `silverrail lab fleet`: cluster membership, scenario by scenario.
#include <cstdio>
#include <map>
#include <memory>

#include "cli/lab/experiments.h"
#include "lab/membership_simulation.h"

namespace silverrail::cli {

namespace {

struct Options {
    lab::MembershipSimulationOptions simulation;
    bool csv = false;
};

void print(const lab::MembershipSimulationRow& row, bool csv) {
    const char* line = csv ? "%s,%zu,%llu,%lld,%lld,%llu,%llu,%.2f,%.0f\n"
                           : "%-10s %7zu %6llu %12lld %11lld %11llu %12llu %9.2f %9.0f\n";
    std::printf(line, lab::name_of(row.scenario), row.members, printable_count(row.seed),
                printable_ms(row.suspected_ms), printable_ms(row.settled_ms),
                printable_count(row.false_suspicions), printable_count(row.false_deaths), row.messages_per_s,
                row.bytes_per_s);
    std::fflush(stdout);
}

// Returns the exit code.
int simulate(const Options& options) {
    std::puts(options.csv ? "scenario,members,seed,suspected_ms,settled_ms,false_suspicions,false_deaths,"
                            "messages_per_member_s,bytes_per_member_s"
                          : "scenario   members   seed suspected_ms  settled_ms false_susp. false_deaths  "
                            "msgs/m/s bytes/m/s");
    const auto rows = lab::simulate_membership(
        options.simulation, [&options](const lab::MembershipSimulationRow& row) { print(row, options.csv); });
    for (const auto& row : rows)
        if (row.settled_ms < 0)
            return 1;
    return 0;
}

}  // namespace

void add_fleet(CLI::App& lab, int& exit_code) {
    CLI::App* fleet = lab.add_subcommand(
        "fleet", "the fleet's view: time to settle, false suspicions and load, scenario by scenario");
    const auto options = std::make_shared<Options>();
    lab::MembershipSimulationOptions& simulation = options->simulation;
    std::map<std::string, lab::MembershipScenario> scenarios;
    for (const auto scenario : lab::all_membership_scenarios())
        scenarios.emplace(lab::name_of(scenario), scenario);
    fleet->add_option("--members", simulation.members, "how many members")->check(CLI::Range(2, 4000));
    fleet->add_option("--seed", simulation.seed, "the same seed gives the same run");
    fleet->add_option("--faults", simulation.scenarios, "which scenarios, by name and comma; all if absent")
        ->delimiter(',')
        ->transform(CLI::CheckedTransformer(scenarios));
    fleet->add_option("--loss", simulation.loss, "share of datagrams lost in the scenario `loss`")
        ->check(CLI::Range(0.0, 0.9));
    fleet->add_flag("--csv", options->csv, "rows with commas, for plots");
    fleet->callback([options, &exit_code] {
        if (const int code = simulate(*options); code != 0)
            exit_code = code;
    });
}

}  // namespace silverrail::cli

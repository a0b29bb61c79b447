#include "cli/lab.h"

#include <cstdio>
#include <map>
#include <memory>

#include "lab/fleet_sim.h"

namespace silverrail::cli {

namespace {

void print(const lab::FleetSimRow& r, bool csv) {
    const char* line = csv ? "%s,%zu,%llu,%lld,%lld,%llu,%llu,%.2f,%.0f\n"
                           : "%-10s %7zu %6llu %12lld %11lld %11llu %12llu %9.2f %9.0f\n";
    std::printf(line, lab::name_of(r.fault), r.members, static_cast<unsigned long long>(r.seed),
                static_cast<long long>(r.suspected_ms), static_cast<long long>(r.settled_ms),
                static_cast<unsigned long long>(r.false_suspicions),
                static_cast<unsigned long long>(r.false_deaths), r.messages_per_s, r.bytes_per_s);
    std::fflush(stdout);
}

void add_fleet(CLI::App& lab, int& code) {
    auto* fleet = lab.add_subcommand(
        "fleet", "the fleet's view: time to settle, false suspicions and load, scenario by scenario");
    auto options = std::make_shared<lab::FleetSimOptions>();
    auto csv = std::make_shared<bool>(false);
    std::map<std::string, lab::Fault> faults;
    for (const auto f : lab::all_faults()) faults.emplace(lab::name_of(f), f);
    fleet->add_option("--members", options->members, "how many members")->check(CLI::Range(2, 4000));
    fleet->add_option("--seed", options->seed, "the same seed gives the same run");
    fleet->add_option("--faults", options->faults, "which scenarios, by name and comma; all if absent")
        ->delimiter(',')
        ->transform(CLI::CheckedTransformer(faults));
    fleet->add_option("--loss", options->loss, "share of datagrams lost in the scenario `loss`")
        ->check(CLI::Range(0.0, 0.9));
    fleet->add_flag("--csv", *csv, "rows with commas, for plots");
    fleet->callback([options, csv, &code] {
        std::puts(*csv ? "scenario,members,seed,suspected_ms,settled_ms,false_suspicions,false_deaths,"
                         "messages_per_member_s,bytes_per_member_s"
                       : "scenario   members   seed suspected_ms  settled_ms false_susp. false_deaths  "
                         "msgs/m/s bytes/m/s");
        const auto rows = lab::simulate_fleet(*options, [csv](const lab::FleetSimRow& r) { print(r, *csv); });
        for (const auto& r : rows)
            if (r.settled_ms < 0) code = 1;
    });
}

}  // namespace

void add_lab(CLI::App& app, int& code) {
    auto* lab = app.add_subcommand("lab", "experiments in simulated time; nothing is sent");
    lab->require_subcommand(1);
    add_fleet(*lab, code);
}

}  // namespace silverrail::cli

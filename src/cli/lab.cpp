#include "cli/lab.h"

#include <cstdio>
#include <map>
#include <memory>

#include "lab/failover_simulation.h"
#include "lab/membership_simulation.h"
#include "lab/replication_simulation.h"

namespace silverrail::cli {

namespace {

void print(const lab::MembershipSimulationRow& row, bool csv) {
    const char* line = csv ? "%s,%zu,%llu,%lld,%lld,%llu,%llu,%.2f,%.0f\n"
                           : "%-10s %7zu %6llu %12lld %11lld %11llu %12llu %9.2f %9.0f\n";
    std::printf(line, lab::name_of(row.scenario), row.members, static_cast<unsigned long long>(row.seed),
                static_cast<long long>(row.suspected_ms), static_cast<long long>(row.settled_ms),
                static_cast<unsigned long long>(row.false_suspicions),
                static_cast<unsigned long long>(row.false_deaths), row.messages_per_s, row.bytes_per_s);
    std::fflush(stdout);
}

void add_fleet(CLI::App& lab, int& code) {
    auto* fleet = lab.add_subcommand(
        "fleet", "the fleet's view: time to settle, false suspicions and load, scenario by scenario");
    auto options = std::make_shared<lab::MembershipSimulationOptions>();
    auto csv = std::make_shared<bool>(false);
    std::map<std::string, lab::MembershipScenario> scenarios;
    for (const auto scenario : lab::all_membership_scenarios())
        scenarios.emplace(lab::name_of(scenario), scenario);
    fleet->add_option("--members", options->members, "how many members")->check(CLI::Range(2, 4000));
    fleet->add_option("--seed", options->seed, "the same seed gives the same run");
    fleet->add_option("--faults", options->scenarios, "which scenarios, by name and comma; all if absent")
        ->delimiter(',')
        ->transform(CLI::CheckedTransformer(scenarios));
    fleet->add_option("--loss", options->loss, "share of datagrams lost in the scenario `loss`")
        ->check(CLI::Range(0.0, 0.9));
    fleet->add_flag("--csv", *csv, "rows with commas, for plots");
    fleet->callback([options, csv, &code] {
        std::puts(*csv ? "scenario,members,seed,suspected_ms,settled_ms,false_suspicions,false_deaths,"
                         "messages_per_member_s,bytes_per_member_s"
                       : "scenario   members   seed suspected_ms  settled_ms false_susp. false_deaths  "
                         "msgs/m/s bytes/m/s");
        const auto rows = lab::simulate_membership(
            *options, [csv](const lab::MembershipSimulationRow& row) { print(row, *csv); });
        for (const auto& row : rows)
            if (row.settled_ms < 0)
                code = 1;
    });
}

void add_replica(CLI::App& lab) {
    auto* replica = lab.add_subcommand(
        "replica", "the replicated state: load at rest, spreading, healing and catching up");
    auto scale = std::make_shared<lab::ReplicationScale>();
    replica->add_option("--members", scale->members, "how many members")->check(CLI::Range(2, 4000));
    replica->add_option("--keys", scale->keys, "how many keys every copy holds")
        ->check(CLI::Range(1, 19'000));
    replica->add_option("--missed", scale->missed, "how many keys change on each side of a cut, or meanwhile")
        ->check(CLI::Range(1, 900));
    replica->add_option("--seed", scale->seed, "the same seed gives the same run");
    replica->callback([scale] {
        std::puts(
            "members,keys,missed,seed,rest_bytes_per_s,spread_ms,heal_ms,heal_bytes_per_s,catch_up_ms,"
            "catch_up_bytes,full_copies");
        const auto figures = lab::measure_replication(*scale);
        std::printf("%zu,%zu,%zu,%llu,%.0f,%lld,%lld,%.0f,%lld,%llu,%llu\n", scale->members, scale->keys,
                    scale->missed, static_cast<unsigned long long>(scale->seed), figures.rest_bytes_per_s,
                    static_cast<long long>(figures.spread_ms), static_cast<long long>(figures.heal_ms),
                    figures.heal_bytes_per_s, static_cast<long long>(figures.catch_up_ms),
                    static_cast<unsigned long long>(figures.catch_up_bytes),
                    static_cast<unsigned long long>(figures.snapshots));
    });
}

void add_check(CLI::App& lab, int& code) {
    auto* check = lab.add_subcommand(
        "check", "the replicated state under seeded loss, reordering, cuts and crashes, seed after seed");
    auto one = std::make_shared<lab::ReplicationCheck>();
    auto seeds = std::make_shared<std::uint64_t>(1000);
    check->add_option("--seed", one->seed, "the first seed");
    check->add_option("--seeds", *seeds, "how many")->check(CLI::Range(1, 1'000'000));
    check->add_option("--keep-ms", one->tombstone_retention, "how long tombstones are kept")
        ->check(CLI::Range(1, 86400000));
    check->add_flag("--learned", one->reports, "what is learned of boxes, not what is said by hand");
    check->add_option("--members", one->members, "how many members")->check(CLI::Range(2, 50));
    check->callback([one, seeds, &code] {
        lab::ReplicationVerdict sum;
        std::uint64_t violations = 0;
        const auto first = one->seed;
        for (; one->seed < first + *seeds; ++one->seed) {
            const auto verdict = lab::check_replication(*one);
            if (!verdict.violation.empty() && ++violations <= 10)
                std::printf("seed %llu: %s\n", static_cast<unsigned long long>(one->seed),
                            verdict.violation.c_str());
            sum.converged_ms = std::max(sum.converged_ms, verdict.converged_ms);
            sum.changes += verdict.changes;
            sum.crashes += verdict.crashes;
            sum.snapshots += verdict.snapshots;
            sum.collected += verdict.collected;
        }
        std::printf(
            "%llu seeds, %llu wrong; %llu changes, %llu crashes, %llu full copies, %llu forgotten; "
            "worst "
            "time to converge %lld ms\n",
            static_cast<unsigned long long>(*seeds), static_cast<unsigned long long>(violations),
            static_cast<unsigned long long>(sum.changes), static_cast<unsigned long long>(sum.crashes),
            static_cast<unsigned long long>(sum.snapshots), static_cast<unsigned long long>(sum.collected),
            static_cast<long long>(sum.converged_ms));
        if (violations > 0)
            code = 1;
    });
}

void add_failover(CLI::App& lab, int& code) {
    auto* failover = lab.add_subcommand(
        "failover", "failover in common: until a region agrees, flaps under noise, what is kept near");
    auto options = std::make_shared<lab::FailoverSimulationOptions>();
    failover->add_option("--members", options->members, "how many routers")->check(CLI::Range(9, 4000));
    failover->add_option("--seed", options->seed, "the same seed gives the same run");
    failover->add_option("--loss", options->loss, "share of datagrams lost")->check(CLI::Range(0.0, 0.9));
    failover->add_option("--calm-s", options->calm_s, "how long each quiet part lasts")
        ->check(CLI::Range(10, 36000));
    failover->callback([options, &code] {
        std::puts(
            "members,zones,regions,seed,rest_bytes_per_s,kept_near,calm_changes,region_ms,fleet_ms,epochs,"
            "written,"
            "without_decider_ms,back_ms,threshold_changes_per_h,threshold_flaps_per_h");
        const auto figures = lab::measure_failover(*options);
        std::printf("%zu,%zu,%zu,%llu,%.0f,%.4f,%llu,%lld,%lld,%llu,%llu,%lld,%lld,%.0f,%.0f\n",
                    options->members, figures.zones, figures.regions,
                    static_cast<unsigned long long>(options->seed), figures.rest_bytes_per_s,
                    figures.kept_near, static_cast<unsigned long long>(figures.calm_changes),
                    static_cast<long long>(figures.region_ms), static_cast<long long>(figures.fleet_ms),
                    static_cast<unsigned long long>(figures.epochs),
                    static_cast<unsigned long long>(figures.written),
                    static_cast<long long>(figures.without_writer_ms),
                    static_cast<long long>(figures.back_ms), figures.changes_per_h, figures.flaps_per_h);
        if (figures.region_ms < 0 || figures.fleet_ms < 0 || figures.without_writer_ms < 0 ||
            figures.back_ms < 0)
            code = 1;
    });
}

}  // namespace

void add_lab(CLI::App& app, int& code) {
    auto* lab = app.add_subcommand("lab", "experiments in simulated time; nothing is sent");
    lab->require_subcommand(1);
    add_fleet(*lab, code);
    add_replica(*lab);
    add_check(*lab, code);
    add_failover(*lab, code);
}

}  // namespace silverrail::cli

// `silverrail lab failover`: failover decided by a region's routers together.
#include <algorithm>
#include <cstdio>
#include <memory>

#include "cli/lab/experiments.h"
#include "lab/failover_simulation.h"

namespace silverrail::cli {

namespace {

// Returns the exit code.
int measure(const lab::FailoverSimulationOptions& options) {
    std::puts(
        "members,zones,regions,seed,rest_bytes_per_s,kept_near,calm_changes,region_ms,fleet_ms,epochs,"
        "written,without_decider_ms,back_ms,threshold_changes_per_h,threshold_flaps_per_h");
    const auto figures = lab::measure_failover(options);
    std::printf("%zu,%zu,%zu,%llu,%.0f,%.4f,%llu,%lld,%lld,%llu,%llu,%lld,%lld,%.0f,%.0f\n", options.members,
                figures.zones, figures.regions, printable_count(options.seed), figures.rest_bytes_per_s,
                figures.kept_near, printable_count(figures.calm_changes), printable_ms(figures.region_ms),
                printable_ms(figures.fleet_ms), printable_count(figures.epochs),
                printable_count(figures.written), printable_ms(figures.without_writer_ms),
                printable_ms(figures.back_ms), figures.changes_per_h, figures.flaps_per_h);
    // Below 0: it did not settle.
    const auto shortest =
        std::min({figures.region_ms, figures.fleet_ms, figures.without_writer_ms, figures.back_ms});
    return shortest < 0 ? 1 : 0;
}

}  // namespace

void add_failover(CLI::App& lab, int& exit_code) {
    CLI::App* failover = lab.add_subcommand(
        "failover", "failover in common: until a region agrees, flaps under noise, what is kept near");
    const auto options = std::make_shared<lab::FailoverSimulationOptions>();
    failover->add_option("--members", options->members, "how many routers")->check(CLI::Range(9, 4000));
    failover->add_option("--seed", options->seed, "the same seed gives the same run");
    failover->add_option("--loss", options->loss, "share of datagrams lost")->check(CLI::Range(0.0, 0.9));
    failover->add_option("--calm-s", options->calm_s, "how long each quiet part lasts")
        ->check(CLI::Range(10, 36000));
    failover->callback([options, &exit_code] {
        if (const int code = measure(*options); code != 0)
            exit_code = code;
    });
}

}  // namespace silverrail::cli

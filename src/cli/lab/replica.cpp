// `silverrail lab replica`: load and convergence of the replicated state.
#include <cstdio>
#include <memory>

#include "cli/lab/experiments.h"
#include "lab/replication_simulation.h"

namespace silverrail::cli {

namespace {

void measure(const lab::ReplicationScale& scale) {
    std::puts(
        "members,keys,missed,seed,rest_bytes_per_s,spread_ms,heal_ms,heal_bytes_per_s,catch_up_ms,"
        "catch_up_bytes,full_copies");
    const auto figures = lab::measure_replication(scale);
    std::printf("%zu,%zu,%zu,%llu,%.0f,%lld,%lld,%.0f,%lld,%llu,%llu\n", scale.members, scale.keys,
                scale.missed, printable_count(scale.seed), figures.rest_bytes_per_s,
                printable_ms(figures.spread_ms), printable_ms(figures.heal_ms), figures.heal_bytes_per_s,
                printable_ms(figures.catch_up_ms), printable_count(figures.catch_up_bytes),
                printable_count(figures.snapshots));
}

}  // namespace

void add_replica(CLI::App& lab) {
    CLI::App* replica = lab.add_subcommand(
        "replica", "the replicated state: load at rest, spreading, healing and catching up");
    const auto scale = std::make_shared<lab::ReplicationScale>();
    replica->add_option("--members", scale->members, "how many members")->check(CLI::Range(2, 4000));
    replica->add_option("--keys", scale->keys, "how many keys every copy holds")
        ->check(CLI::Range(1, 19'000));
    replica->add_option("--missed", scale->missed, "how many keys change on each side of a cut, or meanwhile")
        ->check(CLI::Range(1, 900));
    replica->add_option("--seed", scale->seed, "the same seed gives the same run");
    replica->callback([scale] { measure(*scale); });
}

}  // namespace silverrail::cli

// `silverrail lab check`: the replicated state's model check over many seeds.
#include <algorithm>
#include <cstdio>
#include <memory>

#include "cli/lab/experiments.h"
#include "lab/replication_simulation.h"

namespace silverrail::cli {

namespace {

constexpr std::uint64_t kMaxPrintedViolations = 10;

struct Options {
    lab::ReplicationCheck first;  // the check of the first seed
    std::uint64_t seeds = 1000;
};

void add_to(lab::ReplicationVerdict& sum, const lab::ReplicationVerdict& verdict) {
    sum.converged_ms = std::max(sum.converged_ms, verdict.converged_ms);
    sum.changes += verdict.changes;
    sum.crashes += verdict.crashes;
    sum.snapshots += verdict.snapshots;
    sum.collected += verdict.collected;
}

// Returns the exit code.
int check(const Options& options) {
    lab::ReplicationVerdict sum;
    std::uint64_t violations = 0;
    lab::ReplicationCheck run = options.first;
    for (std::uint64_t i = 0; i < options.seeds; ++i, ++run.seed) {
        const auto verdict = lab::check_replication(run);
        if (!verdict.violation.empty() && ++violations <= kMaxPrintedViolations)
            std::printf("seed %llu: %s\n", printable_count(run.seed), verdict.violation.c_str());
        add_to(sum, verdict);
    }
    std::printf(
        "%llu seeds, %llu wrong; %llu changes, %llu crashes, %llu full copies, %llu forgotten; worst time to "
        "converge %lld ms\n",
        printable_count(options.seeds), printable_count(violations), printable_count(sum.changes),
        printable_count(sum.crashes), printable_count(sum.snapshots), printable_count(sum.collected),
        printable_ms(sum.converged_ms));
    return violations > 0 ? 1 : 0;
}

}  // namespace

void add_check(CLI::App& lab, int& exit_code) {
    CLI::App* command = lab.add_subcommand(
        "check", "the replicated state under seeded loss, reordering, cuts and crashes, seed after seed");
    const auto options = std::make_shared<Options>();
    command->add_option("--seed", options->first.seed, "the first seed");
    command->add_option("--seeds", options->seeds, "how many")->check(CLI::Range(1, 1'000'000));
    command->add_option("--keep-ms", options->first.tombstone_retention, "how long tombstones are kept")
        ->check(CLI::Range(1, 86'400'000));
    command->add_flag("--learned", options->first.reports,
                      "what is learned of boxes, not what is said by hand");
    command->add_option("--members", options->first.members, "how many members")->check(CLI::Range(2, 50));
    command->callback([options, &exit_code] {
        if (const int code = check(*options); code != 0)
            exit_code = code;
    });
}

}  // namespace silverrail::cli

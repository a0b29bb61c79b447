#include "cli/lab/lab.h"

#include "cli/lab/experiments.h"

namespace silverrail::cli {

void add_lab(CLI::App& app, int& exit_code) {
    CLI::App* lab = app.add_subcommand("lab", "experiments in simulated time; nothing is sent");
    lab->require_subcommand(1);
    add_fleet(*lab, exit_code);
    add_replica(*lab);
    add_check(*lab, exit_code);
    add_failover(*lab, exit_code);
}

}  // namespace silverrail::cli

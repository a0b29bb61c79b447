// `silverrail lab …`: experiments on the fleet's state machines in simulated time.
//
// Exit codes: 0 every scenario settled, 1 one did not, 2 wrong arguments.
#pragma once

#include <CLI/CLI.hpp>

namespace silverrail::cli {

// Adds the group `lab` to `app`. Its sub-commands set `exit_code` when they run.
void add_lab(CLI::App& app, int& exit_code);

}  // namespace silverrail::cli

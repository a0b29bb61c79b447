// `silverrail lab …`: experiments on the fleet's state machines in simulated time.
//
// Exit codes: 0 every scenario settled, 1 one did not, 2 wrong words.
#pragma once

#include <CLI/CLI.hpp>

namespace silverrail::cli {

// Adds the sub-command; `code` is what the program ends with once it has run.
void add_lab(CLI::App& app, int& code);

}  // namespace silverrail::cli

// `silverrail trace …`: the tools on trace files.
//
// Exit codes: 0 success; 1 failure (a file can't be opened, nothing can be compared …); 2 wrong arguments; 3
// read, but parts are damaged or missing; 4 unreadable; 5 replay: decisions differ.
#pragma once

#include <CLI/CLI.hpp>

namespace silverrail::cli {

// Adds the sub-command; `code` is the program's exit code once it has run.
void add_trace(CLI::App& app, int& code);

}  // namespace silverrail::cli

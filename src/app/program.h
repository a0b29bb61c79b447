// The router as a program: reads its settings, starts its parts, follows its phases and signals.
#pragma once

#include <string>

namespace silverrail::app {

// Where settings come from: EDGE_CONFIG, EDGE_LISTEN, EDGE_CONTROL, SILVERRAIL_SETTINGS.
struct Sources {
    std::string config;
    std::string listen;           // stands before the file's, where it is given
    std::string control;          // the same
    std::string settings;         // the operator's file
    std::string folder;           // TMPDIR: files that the processes of one router share; empty: none
    bool settings_named = false;  // by the variable: then it must exist
};
Sources sources_of_environment();

// Serves until it is told to end. Returns the program's exit code.
int serve(const Sources& sources);

// Reads everything that `serve` would read and says what is wrong, one line each with its path, on standard
// output. Exit code 0, or 2 if anything is.
int check(const Sources& sources);

}  // namespace silverrail::app

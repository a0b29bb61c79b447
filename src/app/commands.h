// The sub-commands that run the router or check its settings.
#pragma once

#include "app/settings_sources.h"

namespace silverrail::app {

// Serves until a signal ends it. Returns the exit code: 0, or 1 if it cannot start.
int serve(const SettingsSources& sources);

// Reads all settings that serve() would read, and prints each problem with its path on standard output.
// Returns the exit code: 0, or 2 if there are problems.
int check(const SettingsSources& sources);

}  // namespace silverrail::app

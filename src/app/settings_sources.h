// Where the program's settings come from: environment variables, and the command line before them.
#pragma once

#include <string>

namespace silverrail::app {

struct SettingsSources {
    std::string config_file;              // EDGE_CONFIG: the platform's configuration
    std::string listen_override;          // EDGE_LISTEN: used instead of the file's `listen`, unless empty
    std::string control_override;         // EDGE_CONTROL: used instead of the file's `control`, unless empty
    std::string operator_file;            // SILVERRAIL_SETTINGS, or the default path
    std::string shared_folder;            // TMPDIR: files shared by the processes of one router; empty: none
    bool operator_file_required = false;  // set when it was named explicitly: it must exist then
};

SettingsSources settings_sources_from_environment();

}  // namespace silverrail::app

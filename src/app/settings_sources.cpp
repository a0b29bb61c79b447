#include "app/settings_sources.h"

#include <cstdlib>

namespace silverrail::app {

namespace {

constexpr const char* kDefaultOperatorFile = "deploy/silverrail.json";

std::string environment_variable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

}  // namespace

SettingsSources settings_sources_from_environment() {
    SettingsSources sources;
    sources.config_file = environment_variable("EDGE_CONFIG");
    sources.listen_override = environment_variable("EDGE_LISTEN");
    sources.control_override = environment_variable("EDGE_CONTROL");
    sources.shared_folder = environment_variable("TMPDIR");
    sources.operator_file = environment_variable("SILVERRAIL_SETTINGS");
    sources.operator_file_required = !sources.operator_file.empty();
    if (!sources.operator_file_required)
        sources.operator_file = kDefaultOperatorFile;
    return sources;
}

}  // namespace silverrail::app

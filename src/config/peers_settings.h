// The `peers` section of the operator's file. Used by operator_settings.cpp only.
#pragma once

#include "config/operator_settings.h"
#include "config/settings_section.h"

namespace silverrail::config {

// Reads and validates "ADDRESS:PORT"; returns an empty string if the key is absent.
std::string read_endpoint(SettingsSection& section, const char* key);

PeersSettings parse_peers(SettingsSection section);

}  // namespace silverrail::config

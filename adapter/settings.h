// The settings that the simulator opens an instance with, as KEY=VALUE words, mapped to routing::Settings.
#pragma once

#include <stdexcept>

#include "silverrail/routing/router.h"
#include "wire_text.h"

namespace silverrail::routing::adapter {

// A required key is absent, or a value makes no sense. what() names the key.
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Keys that are not known are ignored. Throws SettingsError.
Settings parse_settings(const Words& pairs);

}  // namespace silverrail::routing::adapter

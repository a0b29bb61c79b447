// Parses the KEY=VALUE settings of a simulator instance into routing::Settings.
#pragma once

#include <stdexcept>

#include "silverrail/routing/router.h"
#include "wire_format.h"

namespace silverrail::routing::adapter {

// A required key is absent or a value is invalid. what() names the key.
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Unknown keys are ignored. Throws SettingsError.
Settings parse_settings(const Tokens& pairs);

}  // namespace silverrail::routing::adapter

// Translates the platform's configuration into the settings of the decision module. Apart from the
// simulator adapter, no other file uses the platform's keys and keywords for these settings.
#pragma once

#include "config/json_object.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

// `json` is the configuration's `settings` object. Throws ConfigError.
routing::Settings parse_routing_settings(const JsonObject& json);

}  // namespace silverrail::config

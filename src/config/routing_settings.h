// The decision module's settings, read from the platform's configuration. The platform's keys and words
// appear here and nowhere else.
#pragma once

#include "config/json_object.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

// `json`: the configuration's `settings`. Throws ConfigError.
routing::Settings parse_routing_settings(const JsonObject& json);

}  // namespace silverrail::config

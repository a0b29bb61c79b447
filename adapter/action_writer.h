// Encodes actions of the decision module as lines of the simulator's protocol.
#pragma once

#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::routing::adapter {

// Appends an action of the router of `instance` to `reply`, including the newline.
void append_action(std::string& reply, const std::string& instance, const Action& action);

}  // namespace silverrail::routing::adapter

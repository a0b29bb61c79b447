// Actions of the decision module as lines of the simulator's wire.
#pragma once

#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::routing::adapter {

// Appends the action that the router of `instance` asks for to `reply`, with its line's end.
void append_action(std::string& reply, const std::string& instance, const Action& action);

}  // namespace silverrail::routing::adapter

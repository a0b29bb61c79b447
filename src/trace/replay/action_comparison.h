// Compares an action that the decision module took when a trace was recorded with the one it takes now.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "silverrail/routing/router.h"

namespace silverrail::trace {

enum class ActionDifference {
    target,                    // both send, to different servers
    fill,                      // both send to that server, with another source, retention or age bound
    timeout,                   // the same attempt with another timeout
    sends_instead_of_rejects,  // recorded: rejected or failed; replayed: sent
    rejects_instead_of_sends,  // recorded: sent; replayed: rejected or failed
    rejection,                 // both reject or fail the request, in different ways
    cancellation,              // different attempts are cancelled
    timer,
    count,  // more or fewer actions than recorded, or of other types
};

// As the tool prints it.
const char* name_of(ActionDifference difference);

// Absent: the actions are equal.
std::optional<ActionDifference> compare_actions(const routing::Action& recorded,
                                                const routing::Action& replayed);

// The request that an action is about; 0 for a timer.
std::uint64_t request_of(const routing::Action& action);

// For people to read. `action` may be null: none.
std::string describe(const routing::Action* action);

}  // namespace silverrail::trace

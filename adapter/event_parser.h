// Parses messages of the simulator into events of the decision module.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "silverrail/routing/router.h"
#include "wire_format.h"

namespace silverrail::routing::adapter {

// Maps the name of a request class in the settings to its index.
using ClassIndex = std::map<std::string, std::size_t, std::less<>>;
// Server lists by the number that messages use to refer to them.
using ServerLists = std::map<std::int64_t, std::vector<ListedServer>>;

// State that is needed to parse a message.
struct EventContext {
    const ClassIndex* classes = nullptr;  // of the message's router; null: there is no such router
    const ServerLists& server_lists;
};

// Returns the event that a message encodes; absent if it encodes none, or if it is a request and there is no
// router for it. Throws ProtocolError.
std::optional<Event> parse_event(const Tokens& tokens, const EventContext& context);

// Parses one row of a server list. Throws ProtocolError.
ListedServer parse_listed_server(const Tokens& tokens);

}  // namespace silverrail::routing::adapter

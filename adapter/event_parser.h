// Messages of the simulator as events of the decision module.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "silverrail/routing/router.h"
#include "wire_text.h"

namespace silverrail::routing::adapter {

// Index of each request class by its name in the settings.
using ClassIndex = std::map<std::string, std::size_t, std::less<>>;
// Server lists by the number that messages refer to them by.
using ServerLists = std::map<std::int64_t, std::vector<ListedServer>>;

// What a message is read against.
struct EventContext {
    const ClassIndex* classes = nullptr;  // of the router that the message is for; null: it has none
    const ServerLists& server_lists;
};

// The event that a message stands for; absent if it stands for none, or for one that needs the router's
// classes where it has none. Throws WireError.
std::optional<Event> parse_event(const Words& words, const EventContext& context);

// One row of a server list. Throws WireError.
ListedServer parse_listed_server(const Words& words);

}  // namespace silverrail::routing::adapter

// Parsing of service discovery events. The configuration's `known` list and the watch stream use the same
// format.
#pragma once

#include <json/json.h>

#include <optional>
#include <variant>

#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::config {

struct DiscoveryEvent {
    std::int64_t no = 0;  // sequence number in the stream
    std::variant<core::ServerChange, core::PurgeNotice> what;
};

// Returns nothing if `json` is not an event that this version supports. Servers with an unknown state or
// without an id are skipped. Start times of servers and issue times of purges remain in Unix time; the core
// converts them to the steady clock.
std::optional<DiscoveryEvent> parse_event(const Json::Value& json);

}  // namespace silverrail::config

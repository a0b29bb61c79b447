// One event of service discovery. The configuration's `known` and the watch stream have the same form.
#pragma once

#include <json/json.h>

#include <optional>
#include <variant>

#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::config {

struct DiscoveryEvent {
    std::int64_t no = 0;  // its number in the stream
    std::variant<core::ServerChange, core::PurgeNotice> what;
};

// Times of servers' starts and of purges stay in Unix time; the core converts them to the steady clock.
// Absent if it is not an event that this version knows. Servers with an unknown state or without an id are
// skipped.
std::optional<DiscoveryEvent> parse_event(const Json::Value& json);

}  // namespace silverrail::config

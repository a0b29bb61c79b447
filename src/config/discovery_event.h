// One event of discovery, as `known` and the stream both hold it.
#pragma once

#include <json/json.h>

#include <optional>
#include <variant>

#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::config {

struct DiscoveryEvent {
    std::int64_t no = 0;
    std::variant<core::ServerChange, core::PurgeNotice> what;
};

// Starts and purges keep their Unix time; what it means on the steady clock is the core's to say. Absent: not
// an event that this program knows.
std::optional<DiscoveryEvent> parse_event(const Json::Value& json);

// 1 to 16 hex digits.
std::optional<std::uint64_t> parse_hex(std::string_view text);

}  // namespace silverrail::config

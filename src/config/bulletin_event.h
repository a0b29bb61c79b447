// One event of the bulletin, as `known` and the stream both hold it.
#pragma once

#include <json/json.h>

#include <optional>
#include <variant>

#include "core/fleet.h"
#include "core/purges.h"

namespace silverrail::config {

struct BulletinEvent {
    std::int64_t no = 0;
    std::variant<core::BoxChange, core::PurgeNotice> what;
};

// `now` and `unix_ms` are one moment on both clocks: starts are listed in Unix time, the module's time is
// steady. Absent: not an event that this program knows.
std::optional<BulletinEvent> parse_event(const Json::Value& json, winchflow::Time now, std::int64_t unix_ms);

// 1 to 16 hex digits.
std::optional<std::uint64_t> parse_hex(std::string_view text);

}  // namespace silverrail::config

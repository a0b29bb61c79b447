// JSON to and from text.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace silverrail::config {

// Nesting deeper than this is refused, as the parser recurses.
inline constexpr int kMaxJsonDepth = 64;

// Comments are allowed. Absent if the text is not JSON.
std::optional<Json::Value> parse_json(std::string_view text);

// On one line.
std::string json_line(const Json::Value& json);

}  // namespace silverrail::config

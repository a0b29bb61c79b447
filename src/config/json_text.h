// Conversion between JSON values and JSON text.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace silverrail::config {

// Input that is nested more deeply is rejected, because the parser is recursive.
inline constexpr int kMaxJsonDepth = 64;

// Comments are accepted. Returns nothing if `text` is not valid JSON.
std::optional<Json::Value> parse_json(std::string_view text);

// Serializes a value on one line.
std::string json_line(const Json::Value& json);

}  // namespace silverrail::config

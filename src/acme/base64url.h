// Base64 for URLs, without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace silverrail::acme {

std::string encode_base64url(std::string_view bytes);
// Absent if the text has another character, an impossible length, or bits left over that are not 0.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace silverrail::acme

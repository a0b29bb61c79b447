// URL-safe Base64 without padding (RFC 4648, section 5).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace silverrail::acme {

std::string encode_base64url(std::string_view bytes);
// Returns std::nullopt if the input has an invalid character, an impossible length or non-zero trailing bits.
std::optional<std::string> decode_base64url(std::string_view encoded);

}  // namespace silverrail::acme

// Identifiers, addresses and times as text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace silverrail::trace {

// An IP address of 4 or 16 bytes in its usual form; a pseudonym of 8 bytes as `~` and 16 digits; empty for
// anything else.
std::string address_text(std::string_view bytes);
// RFC 3339, UTC, truncated to microseconds.
std::string time_text(std::int64_t unix_ns);
// Reads RFC 3339 with any fraction and offset, from 1678 to 2261. Returns Unix time in ns; absent: malformed.
std::optional<std::int64_t> parse_time(std::string_view text);

}  // namespace silverrail::trace

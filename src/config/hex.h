// Parsing and formatting of hexadecimal ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace silverrail::config {

// Accepts 1 to 16 digits in either case; returns nothing for other input.
std::optional<std::uint64_t> parse_hex(std::string_view text);
// Returns 16 lower-case digits.
std::string hex_text(std::uint64_t value);

}  // namespace silverrail::config

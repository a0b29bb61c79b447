// Hexadecimal ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace silverrail::config {

// 1 to 16 digits, of either case; absent if it is anything else.
std::optional<std::uint64_t> parse_hex(std::string_view text);
// 16 digits of lower case.
std::string hex_text(std::uint64_t value);

}  // namespace silverrail::config

// Hexadecimal ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace silverrail::config {

// 1 to 16 digits, of either case; absent if it is anything else.
std::optional<std::uint64_t> parse_hex(std::string_view text);

}  // namespace silverrail::config

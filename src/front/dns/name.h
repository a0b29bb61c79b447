// Domain names.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace silverrail::front::dns {

inline constexpr std::size_t kMaxNameBytes = 255;  // as encoded, with the root's label
inline constexpr std::size_t kMaxLabelBytes = 63;

// Labels in lower case, without the root's.
using Name = std::vector<std::string>;

// With or without a dot at the end. Absent if a label is empty or too long, or the name is.
std::optional<Name> parse_name(std::string_view dotted);

// In wire format, without compression.
std::string encode_name(const Name& name);

std::string lower_case(std::string_view label);

// Whether `name` is `suffix` or below it.
bool ends_with(const Name& name, const Name& suffix);

}  // namespace silverrail::front::dns

// Domain names.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace silverrail::front::dns {

inline constexpr std::size_t kMaxNameBytes = 255;  // in wire format, including the root label
inline constexpr std::size_t kMaxLabelBytes = 63;

// Labels in lower case, without the root label.
using Name = std::vector<std::string>;

// Accepts names with and without a trailing dot. Returns std::nullopt if a label is empty or too long, or if
// the name is too long.
std::optional<Name> parse_name(std::string_view dotted);

// Encodes the name in wire format, without compression.
std::string encode_name(const Name& name);

std::string lower_case(std::string_view label);

// Whether `name` is equal to `suffix` or is a subdomain of it.
bool ends_with(const Name& name, const Name& suffix);

}  // namespace silverrail::front::dns

// Hash functions of the decision module. The results depend only on the input, so that all routers choose the
// same servers for an object.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverrail::routing {

// The finaliser of splitmix64: a bijection in which every bit of the input affects every bit of the result.
std::uint64_t mix_bits(std::uint64_t value);

// FNV-1a followed by mix_bits().
std::uint64_t hash_string(std::string_view string);

// Maps a hash uniformly to the open interval (0, 1).
double to_fraction(std::uint64_t hash);

}  // namespace silverrail::routing

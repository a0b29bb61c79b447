// Hash functions of the decision module. They depend on their input alone, so that all routers agree where
// they have to.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverrail::routing {

// The finaliser of splitmix64: a bijection in which every bit of the input affects every bit of the result.
std::uint64_t mix_bits(std::uint64_t value);

// FNV-1a, then mixed.
std::uint64_t hash_text(std::string_view text);

// Maps a hash to a number in the open interval (0, 1), evenly.
double to_fraction(std::uint64_t hash);

}  // namespace silverrail::routing

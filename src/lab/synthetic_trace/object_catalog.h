// The objects that simulated clients ask for, by rank of popularity. They are computed, not stored.
#pragma once

#include <cmath>
#include <cstdint>

#include "silverrail/routing/router.h"

namespace silverrail::lab {

inline constexpr int kObjectRanks = 60'000;

std::uint64_t hash_number(std::uint64_t number);

// Few objects are asked for often: the logarithm of the rank is uniform. `uniform` is drawn from [0, 1).
inline std::uint64_t popularity_rank(double uniform) {
    return static_cast<std::uint64_t>(std::pow(kObjectRanks, uniform));
}

// The object of that rank in a class, which is below 4.
inline std::uint64_t object_number(std::uint64_t rank, std::uint64_t class_index) {
    return hash_number(rank * 4 + class_index);
}

// The group of an object, one of 256.
inline routing::GroupId group_of(std::uint64_t object) {
    return routing::GroupId{object & 255};
}

}  // namespace silverrail::lab

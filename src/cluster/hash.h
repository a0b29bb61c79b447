// FNV-1a (Fowler, Noll, Vo; 64 bits), the same in every build and on every machine: members compare what they
// compute of their state. Not against an adversary.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverrail::cluster {

inline constexpr std::uint64_t kFnvBasis = 14695981039346656037ULL;

inline std::uint64_t fnv(std::uint64_t h, std::string_view bytes) {
    for (const unsigned char c : bytes)
        h = (h ^ c) * 1099511628211ULL;
    return h;
}
inline std::uint64_t fnv(std::uint64_t h, std::uint64_t number) {
    for (int i = 0; i < 8; ++i)
        h = (h ^ ((number >> (8 * i)) & 0xff)) * 1099511628211ULL;
    return h;
}

}  // namespace silverrail::cluster

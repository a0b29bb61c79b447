// 64-bit FNV-1a (Fowler-Noll-Vo) hashes. Routers compare digests of their state, so the hash must be the same
// in every build and on every machine. It is not collision-resistant against deliberately chosen input.
#pragma once

#include <cstdint>
#include <string_view>

namespace silverrail::cluster {

inline constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
inline constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

inline std::uint64_t fnv1a(std::uint64_t hash, std::string_view bytes) {
    for (const unsigned char byte : bytes)
        hash = (hash ^ byte) * kFnvPrime;
    return hash;
}

// Hashes the eight bytes of the number in little-endian order.
inline std::uint64_t fnv1a(std::uint64_t hash, std::uint64_t number) {
    for (int i = 0; i < 8; ++i)
        hash = (hash ^ ((number >> (8 * i)) & 0xff)) * kFnvPrime;
    return hash;
}

// State digests have buckets by name, so that two routers exchange only the contents of differing buckets.
inline constexpr std::size_t kDigestBuckets = 64;

inline std::size_t digest_bucket(std::string_view name) {
    return fnv1a(kFnvOffsetBasis, name) % kDigestBuckets;
}

}  // namespace silverrail::cluster

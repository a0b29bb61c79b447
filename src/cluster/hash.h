// FNV-1a (Fowler, Noll, Vo; 64 bits), the same in every build and on every machine: routers compare digests
// of their state. It does not withstand an adversary.
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

// The number's eight bytes, least significant first.
inline std::uint64_t fnv1a(std::uint64_t hash, std::uint64_t number) {
    for (int i = 0; i < 8; ++i)
        hash = (hash ^ ((number >> (8 * i)) & 0xff)) * kFnvPrime;
    return hash;
}

// Digests of state are kept by bucket, so that two routers exchange only the buckets that differ.
inline constexpr std::size_t kDigestBuckets = 64;

inline std::size_t digest_bucket(std::string_view name) {
    return fnv1a(kFnvOffsetBasis, name) % kDigestBuckets;
}

}  // namespace silverrail::cluster

#include "routing/hashing.h"

namespace silverrail::routing {

std::uint64_t mix_bits(std::uint64_t value) {
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9U;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

std::uint64_t hash_string(std::string_view string) {
    constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325U;
    constexpr std::uint64_t kPrime = 0x100000001b3U;
    std::uint64_t hash = kOffsetBasis;
    for (const unsigned char byte : string)
        hash = (hash ^ byte) * kPrime;
    return mix_bits(hash);
}

double to_fraction(std::uint64_t hash) {
    return (static_cast<double>(hash >> 11) + 0.5) * 0x1.0p-53;
}

}  // namespace silverrail::routing

// Numbers and checksums as a trace file stores them (docs/trace-format.md). Decoding is bounds-checked:
// malformed input makes it return false, and is never read past its end.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace silverrail::trace {

using Bytes = std::string;
using ByteView = std::string_view;

inline std::uint64_t zigzag(std::int64_t v) {
    return (static_cast<std::uint64_t>(v) << 1) ^ static_cast<std::uint64_t>(v >> 63);
}
inline std::int64_t unzigzag(std::uint64_t v) {
    return static_cast<std::int64_t>(v >> 1) ^ -static_cast<std::int64_t>(v & 1);
}
// Differences and sums of 64-bit values wrap, so that every pair has a difference.
inline std::int64_t difference(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) - static_cast<std::uint64_t>(b));
}
inline std::int64_t sum(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) + static_cast<std::uint64_t>(b));
}

// Append to `out`; fixed-size numbers are little-endian.
inline void put_varint(Bytes& out, std::uint64_t v) {
    while (v >= 0x80) {
        out.push_back(static_cast<char>(v | 0x80));
        v >>= 7;
    }
    out.push_back(static_cast<char>(v));
}
void put_u16(Bytes& out, std::uint16_t v);
void put_u32(Bytes& out, std::uint32_t v);
void put_u64(Bytes& out, std::uint64_t v);

// Decode a fixed-size number at an offset; all of its bytes must be there.
std::uint16_t u16_at(ByteView bytes, std::size_t offset = 0);
std::uint32_t u32_at(ByteView bytes, std::size_t offset = 0);
std::uint64_t u64_at(ByteView bytes, std::size_t offset = 0);

// Decode a number at the front of `in` and remove it. False: `in` is malformed or too short.
inline bool get_varint(ByteView& in, std::uint64_t& v) {
    v = 0;
    for (unsigned shift = 0, i = 0; i < in.size() && shift < 64; ++i, shift += 7) {
        const auto byte = static_cast<unsigned char>(in[i]);
        if (shift == 63 && byte > 1)
            return false;
        v |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (byte < 0x80) {
            in.remove_prefix(i + 1);
            return true;
        }
    }
    return false;
}
inline bool get_u64(ByteView& in, std::uint64_t& v) {
    if (in.size() < 8)
        return false;
    v = u64_at(in);
    in.remove_prefix(8);
    return true;
}

// XXH3, 64 bits.
std::uint64_t checksum(ByteView bytes, std::uint64_t seed = 0);

}  // namespace silverrail::trace

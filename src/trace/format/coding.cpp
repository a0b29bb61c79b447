#include "trace/format/coding.h"

#include <xxhash.h>

namespace silverrail::trace {

namespace {

template <class Int>
void put_little_endian(Bytes& out, Int v) {
    for (unsigned i = 0; i < sizeof v; ++i)
        out.push_back(static_cast<char>(v >> (8 * i)));
}

template <class Int>
Int little_endian_at(ByteView bytes, std::size_t offset) {
    Int v = 0;
    for (unsigned i = 0; i < sizeof v; ++i) {
        const auto byte = static_cast<Int>(static_cast<unsigned char>(bytes[offset + i]));
        v = static_cast<Int>(v | static_cast<Int>(byte << (8 * i)));
    }
    return v;
}

}  // namespace

void put_u16(Bytes& out, std::uint16_t v) {
    put_little_endian(out, v);
}
void put_u32(Bytes& out, std::uint32_t v) {
    put_little_endian(out, v);
}
void put_u64(Bytes& out, std::uint64_t v) {
    put_little_endian(out, v);
}
std::uint16_t u16_at(ByteView bytes, std::size_t offset) {
    return little_endian_at<std::uint16_t>(bytes, offset);
}
std::uint32_t u32_at(ByteView bytes, std::size_t offset) {
    return little_endian_at<std::uint32_t>(bytes, offset);
}
std::uint64_t u64_at(ByteView bytes, std::size_t offset) {
    return little_endian_at<std::uint64_t>(bytes, offset);
}

std::uint64_t checksum(ByteView bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace silverrail::trace

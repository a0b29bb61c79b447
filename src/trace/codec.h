// Numbers and checksums as trace files hold them (docs/trace-format.md). Reading is bounds-checked: what does
// not fit is a false or an absent value, never a read past the end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace silverrail::trace {

using Bytes = std::string;
using View = std::string_view;

inline std::uint64_t zigzag(std::int64_t v) {
    return (static_cast<std::uint64_t>(v) << 1) ^ static_cast<std::uint64_t>(v >> 63);
}
inline std::int64_t unzigzag(std::uint64_t v) {
    return static_cast<std::int64_t>(v >> 1) ^ -static_cast<std::int64_t>(v & 1);
}
// Differences of 64-bit values wrap, so that any two have one.
inline std::int64_t difference(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) - static_cast<std::uint64_t>(b));
}
inline std::int64_t sum(std::int64_t a, std::int64_t b) {
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) + static_cast<std::uint64_t>(b));
}

inline void put_varint(Bytes& to, std::uint64_t v) {
    while (v >= 0x80) {
        to.push_back(static_cast<char>(v | 0x80));
        v >>= 7;
    }
    to.push_back(static_cast<char>(v));
}
void put_u16(Bytes& to, std::uint16_t v);  // little-endian, as the two below
void put_u32(Bytes& to, std::uint32_t v);
void put_u64(Bytes& to, std::uint64_t v);
std::uint16_t u16_at(const char* at);
std::uint32_t u32_at(const char* at);
std::uint64_t u64_at(const char* at);

// Reads on from the front of `from`.
inline bool get_varint(View& from, std::uint64_t& v) {
    v = 0;
    for (unsigned shift = 0, i = 0; i < from.size() && shift < 64; ++i, shift += 7) {
        const auto byte = static_cast<unsigned char>(from[i]);
        if (shift == 63 && byte > 1)
            return false;
        v |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (byte < 0x80) {
            from.remove_prefix(i + 1);
            return true;
        }
    }
    return false;
}
inline bool get_u64(View& from, std::uint64_t& v) {
    if (from.size() < 8)
        return false;
    v = u64_at(from.data());
    from.remove_prefix(8);
    return true;
}

std::uint64_t checksum(View bytes, std::uint64_t seed = 0);  // XXH3, 64 bits

// zstd, with its working memory kept from one call to the next. For one thread at a time.
class Zstd {
public:
    Zstd();
    ~Zstd();
    Zstd(Zstd&&) noexcept;
    Zstd& operator=(Zstd&&) noexcept;
    // Absent: it would not be shorter.
    std::optional<Bytes> compressed(View raw, int level);
    // Absent: not a frame of exactly that many bytes.
    std::optional<Bytes> expanded(View stored, std::size_t raw_bytes);

private:
    struct Contexts;
    std::unique_ptr<Contexts> contexts_;  // made when first needed
};

// A Bloom filter over 64-bit keys: says for certain that a key is not in.
class Filter {
public:
    explicit Filter(std::size_t keys);
    explicit Filter(Bytes bits) : bits_(std::move(bits)) {}
    void add(std::uint64_t key);
    bool may_hold(std::uint64_t key) const;  // true where there are no bits
    const Bytes& bits() const {
        return bits_;
    }

private:
    template <class F>
    void places(std::uint64_t key, F&& f) const;
    Bytes bits_;
};

}  // namespace silverrail::trace

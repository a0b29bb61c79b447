#include "trace/codec.h"

#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace silverrail::trace {

namespace {
template <class Int>
void put_le(Bytes& to, Int v) {
    for (unsigned i = 0; i < sizeof v; ++i)
        to.push_back(static_cast<char>(v >> (8 * i)));
}
template <class Int>
Int le_at(const char* at) {
    Int v = 0;
    for (unsigned i = 0; i < sizeof v; ++i)
        v = static_cast<Int>(
            v | static_cast<Int>(static_cast<Int>(static_cast<unsigned char>(at[i])) << (8 * i)));
    return v;
}

}  // namespace

struct Zstd::Contexts {
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> in{nullptr, &ZSTD_freeCCtx};
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> out{nullptr, &ZSTD_freeDCtx};
};
Zstd::Zstd() : contexts_(std::make_unique<Contexts>()) {}
Zstd::~Zstd() = default;
Zstd::Zstd(Zstd&&) noexcept = default;
Zstd& Zstd::operator=(Zstd&&) noexcept = default;

void put_u16(Bytes& to, std::uint16_t v) {
    put_le(to, v);
}
void put_u32(Bytes& to, std::uint32_t v) {
    put_le(to, v);
}
void put_u64(Bytes& to, std::uint64_t v) {
    put_le(to, v);
}
std::uint16_t u16_at(const char* at) {
    return le_at<std::uint16_t>(at);
}
std::uint32_t u32_at(const char* at) {
    return le_at<std::uint32_t>(at);
}
std::uint64_t u64_at(const char* at) {
    return le_at<std::uint64_t>(at);
}

std::uint64_t checksum(View bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::optional<Bytes> Zstd::compressed(View raw, int level) {
    if (raw.size() < 24)
        return std::nullopt;  // a frame's own bytes would outweigh it
    if (!contexts_->in)
        contexts_->in.reset(ZSTD_createCCtx());
    Bytes out(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t n =
        ZSTD_compressCCtx(contexts_->in.get(), out.data(), out.size(), raw.data(), raw.size(), level);
    if (ZSTD_isError(n) || n >= raw.size())
        return std::nullopt;
    out.resize(n);
    return out;
}

std::optional<Bytes> Zstd::expanded(View stored, std::size_t raw_bytes) {
    if (ZSTD_getFrameContentSize(stored.data(), stored.size()) != raw_bytes)
        return std::nullopt;
    if (!contexts_->out)
        contexts_->out.reset(ZSTD_createDCtx());
    Bytes out(raw_bytes, '\0');
    const std::size_t n =
        ZSTD_decompressDCtx(contexts_->out.get(), out.data(), out.size(), stored.data(), stored.size());
    if (ZSTD_isError(n) || n != raw_bytes)
        return std::nullopt;
    return out;
}

// Six bits a key and four places: one in eighteen other keys is taken for one that is in.
Filter::Filter(std::size_t keys) : bits_(std::bit_ceil(std::max<std::size_t>(8, keys * 6 / 8)), '\0') {}

template <class F>
void Filter::places(std::uint64_t key, F&& f) const {
    const std::uint64_t mask = bits_.size() * 8 - 1;
    const std::uint64_t step = (key >> 32) | 1;
    for (int i = 0; i < 4; ++i)
        f((key + static_cast<std::uint64_t>(i) * step) & mask);
}

void Filter::add(std::uint64_t key) {
    places(key, [this](std::uint64_t bit) {
        bits_[bit / 8] = static_cast<char>(bits_[bit / 8] | (1 << (bit % 8)));
    });
}

bool Filter::may_hold(std::uint64_t key) const {
    if (!std::has_single_bit(bits_.size()))
        return true;
    bool all = true;
    places(key, [&](std::uint64_t bit) { all = all && (bits_[bit / 8] >> (bit % 8) & 1); });
    return all;
}

}  // namespace silverrail::trace

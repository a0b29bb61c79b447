#include "trace/format/compression.h"

#include <zstd.h>

namespace silverrail::trace {

// A zstd frame's own bytes outweigh the gain below this.
constexpr std::size_t kMinRawBytes = 24;

struct ZstdCompressor::Contexts {
    std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> compress{nullptr, &ZSTD_freeCCtx};
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> decompress{nullptr, &ZSTD_freeDCtx};
};
ZstdCompressor::ZstdCompressor() : contexts_(std::make_unique<Contexts>()) {}
ZstdCompressor::~ZstdCompressor() = default;
ZstdCompressor::ZstdCompressor(ZstdCompressor&&) noexcept = default;
ZstdCompressor& ZstdCompressor::operator=(ZstdCompressor&&) noexcept = default;

std::optional<Bytes> ZstdCompressor::compress(ByteView raw, int level) {
    if (raw.size() < kMinRawBytes)
        return std::nullopt;
    if (!contexts_->compress)
        contexts_->compress.reset(ZSTD_createCCtx());
    Bytes out(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t size =
        ZSTD_compressCCtx(contexts_->compress.get(), out.data(), out.size(), raw.data(), raw.size(), level);
    if (ZSTD_isError(size) || size >= raw.size())
        return std::nullopt;
    out.resize(size);
    return out;
}

std::optional<Bytes> ZstdCompressor::decompress(ByteView stored, std::size_t raw_bytes) {
    if (ZSTD_getFrameContentSize(stored.data(), stored.size()) != raw_bytes)
        return std::nullopt;
    if (!contexts_->decompress)
        contexts_->decompress.reset(ZSTD_createDCtx());
    Bytes out(raw_bytes, '\0');
    const std::size_t size = ZSTD_decompressDCtx(contexts_->decompress.get(), out.data(), out.size(),
                                                 stored.data(), stored.size());
    if (ZSTD_isError(size) || size != raw_bytes)
        return std::nullopt;
    return out;
}

}  // namespace silverrail::trace

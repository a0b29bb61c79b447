// Compression of columns with zstd.
#pragma once

#include <memory>
#include <optional>

#include "trace/format/coding.h"

namespace silverrail::trace {

// Reuses its working memory from one call to the next. Not thread-safe.
class ZstdCompressor {
public:
    ZstdCompressor();
    ~ZstdCompressor();
    ZstdCompressor(ZstdCompressor&&) noexcept;
    ZstdCompressor& operator=(ZstdCompressor&&) noexcept;
    // Empty if the result would not be shorter. `level`: 1 to 19.
    std::optional<Bytes> compress(ByteView raw, int level);
    // Empty unless `stored` is a frame of exactly `raw_bytes` bytes.
    std::optional<Bytes> decompress(ByteView stored, std::size_t raw_bytes);

private:
    struct Contexts;
    std::unique_ptr<Contexts> contexts_;  // each is created on first use
};

}  // namespace silverrail::trace

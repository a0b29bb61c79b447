// The columns of a chunk: a directory in its head, the stored bytes in its body.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trace/format/compression.h"

namespace silverrail::trace {

inline constexpr std::size_t kMaxBodyBytes = 64 << 20;
inline constexpr std::size_t kMaxColumnBytes = std::size_t{32} << 20;  // decompressed

// Columns 0 to 2 belong to all records. Each field of each type has two more: its values, and its dictionary.
inline constexpr std::uint64_t kTypeColumn = 0;
inline constexpr std::uint64_t kRouterColumn = 1;
inline constexpr std::uint64_t kTimeColumn = 2;
constexpr std::uint64_t column_id(std::size_t type, std::size_t field) {
    return 64 + type * 64 + field * 2;
}
constexpr std::uint64_t dictionary_id(std::uint64_t column) {
    return column + 1;
}

// Encodes columns one after another.
class ColumnWriter {
public:
    // `zstd_level`: 1 to 19. The compressor must outlive the writer.
    ColumnWriter(ZstdCompressor& zstd, int zstd_level) : zstd_(zstd), level_(zstd_level) {}
    // `count`: values in `raw`.
    void add_bytes(std::uint64_t id, std::uint64_t count, ByteView raw);
    void add_numbers(std::uint64_t id, const std::vector<std::uint64_t>& values);
    // Zigzag-encoded numbers. They are stored in the largest unit of which all are multiples.
    void add_signed_numbers(std::uint64_t id, const std::vector<std::uint64_t>& zigzagged);
    // Appends the directory to a chunk's head.
    void put_directory(Bytes& head) const;
    Bytes take_body() {
        return std::move(body_);
    }

private:
    void add(std::uint64_t id, std::uint8_t codec, std::uint64_t count, ByteView raw);
    ZstdCompressor& zstd_;
    int level_;
    std::uint64_t columns_ = 0;
    Bytes directory_;
    Bytes body_;
};

// Decodes columns by their ids. Every function checks its input, and fails if it is malformed.
class ColumnReader {
public:
    struct Entry {
        std::uint8_t codec = 0;
        std::uint64_t count = 0;
        std::uint64_t raw_bytes = 0;
        std::uint64_t stored_bytes = 0;
        std::uint64_t offset = 0;  // in the body
    };

    // Removes the directory from the front of `head`.
    bool read_directory(ByteView& head);
    // False: the body is shorter than the directory requires.
    bool set_body(Bytes body);
    bool contains(std::uint64_t id) const {
        return entries_.contains(id);
    }
    // The decompressed bytes of an existing column. Empty: malformed, or a column of numbers.
    std::optional<Bytes> bytes(std::uint64_t id);
    // The values of an existing column. Empty: malformed, or not a column of numbers.
    std::optional<std::vector<std::uint64_t>> numbers(std::uint64_t id);
    // The same for one of signed numbers; the values are zigzag-encoded.
    std::optional<std::vector<std::uint64_t>> signed_numbers(std::uint64_t id);
    std::uint64_t body_bytes() const {
        return body_bytes_;
    }
    const std::unordered_map<std::uint64_t, Entry>& entries() const {
        return entries_;
    }

private:
    std::optional<Bytes> decompress(const Entry& entry);
    std::optional<std::vector<std::uint64_t>> numbers(std::uint64_t id, std::uint64_t& scale);
    ZstdCompressor zstd_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::uint64_t body_bytes_ = 0;
    Bytes body_;
};

}  // namespace silverrail::trace

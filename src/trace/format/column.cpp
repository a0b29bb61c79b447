#include "trace/format/column.h"

#include <algorithm>
#include <array>

namespace silverrail::trace {

namespace {

constexpr std::uint8_t kRawCodec = 0;
constexpr std::uint8_t kNumberCodec = 1;
constexpr std::uint8_t kZstdFlag = 0x80;
constexpr std::uint64_t kMaxColumns = 64 + 64 * 64;
constexpr std::uint64_t kMaxScale = 1'000'000'000;
// Milliseconds, microseconds, nanoseconds.
constexpr std::array<std::int64_t, 3> kScales{1'000'000, 1'000, 1};

std::int64_t common_scale(const std::vector<std::uint64_t>& zigzagged) {
    for (const std::int64_t scale : kScales)
        if (std::all_of(zigzagged.begin(), zigzagged.end(),
                        [scale](std::uint64_t v) { return unzigzag(v) % scale == 0; }))
            return scale;
    return 1;
}

}  // namespace

void ColumnWriter::add(std::uint64_t id, std::uint8_t codec, std::uint64_t count, ByteView raw) {
    const auto compressed = zstd_.compress(raw, level_);
    const ByteView stored = compressed ? ByteView{*compressed} : raw;
    put_varint(directory_, id);
    put_varint(directory_, static_cast<std::uint64_t>(codec | (compressed ? kZstdFlag : 0)));
    put_varint(directory_, count);
    put_varint(directory_, raw.size());
    put_varint(directory_, stored.size());
    body_.append(stored);
    ++columns_;
}

void ColumnWriter::add_bytes(std::uint64_t id, std::uint64_t count, ByteView raw) {
    add(id, kRawCodec, count, raw);
}

void ColumnWriter::add_numbers(std::uint64_t id, const std::vector<std::uint64_t>& values) {
    Bytes raw;
    raw.reserve(values.size() * 3);
    put_varint(raw, 1);
    for (const std::uint64_t v : values)
        put_varint(raw, v);
    add(id, kNumberCodec, values.size(), raw);
}

void ColumnWriter::add_signed_numbers(std::uint64_t id, const std::vector<std::uint64_t>& zigzagged) {
    const std::int64_t scale = common_scale(zigzagged);
    if (scale == 1)
        return add_numbers(id, zigzagged);
    Bytes raw;
    raw.reserve(zigzagged.size() * 3);
    put_varint(raw, static_cast<std::uint64_t>(scale));
    for (const std::uint64_t v : zigzagged)
        put_varint(raw, zigzag(unzigzag(v) / scale));
    add(id, kNumberCodec, zigzagged.size(), raw);
}

void ColumnWriter::put_directory(Bytes& head) const {
    put_varint(head, columns_);
    head += directory_;
}

bool ColumnReader::read_directory(ByteView& head) {
    std::uint64_t columns = 0;
    if (!get_varint(head, columns) || columns > kMaxColumns)
        return false;
    for (std::uint64_t i = 0; i < columns; ++i) {
        std::uint64_t id = 0;
        std::uint64_t codec = 0;
        Entry entry;
        if (!get_varint(head, id) || !get_varint(head, codec) || !get_varint(head, entry.count) ||
            !get_varint(head, entry.raw_bytes) || !get_varint(head, entry.stored_bytes))
            return false;
        if (entry.raw_bytes > kMaxColumnBytes || entry.stored_bytes > kMaxBodyBytes || codec > 0xff)
            return false;
        entry.codec = static_cast<std::uint8_t>(codec);
        entry.offset = body_bytes_;
        body_bytes_ += entry.stored_bytes;
        if (body_bytes_ > kMaxBodyBytes || !entries_.try_emplace(id, entry).second)
            return false;
    }
    return true;
}

bool ColumnReader::set_body(Bytes body) {
    body_ = std::move(body);
    return body_.size() >= body_bytes_;
}

std::optional<Bytes> ColumnReader::decompress(const Entry& entry) {
    const ByteView stored = ByteView{body_}.substr(entry.offset, entry.stored_bytes);
    if (entry.codec & kZstdFlag)
        return zstd_.decompress(stored, entry.raw_bytes);
    if (entry.raw_bytes != entry.stored_bytes)
        return std::nullopt;
    return Bytes{stored};
}

std::optional<Bytes> ColumnReader::bytes(std::uint64_t id) {
    const Entry& entry = entries_.at(id);
    if ((entry.codec & ~kZstdFlag) != kRawCodec)
        return std::nullopt;
    return decompress(entry);
}

std::optional<std::vector<std::uint64_t>> ColumnReader::numbers(std::uint64_t id, std::uint64_t& scale) {
    const Entry& entry = entries_.at(id);
    if ((entry.codec & ~kZstdFlag) != kNumberCodec)
        return std::nullopt;
    const auto raw = decompress(entry);
    if (!raw)
        return std::nullopt;
    ByteView rest = *raw;
    if (!get_varint(rest, scale) || scale == 0 || scale > kMaxScale || entry.count > rest.size())
        return std::nullopt;
    std::vector<std::uint64_t> values(entry.count);
    for (std::uint64_t& v : values)
        if (!get_varint(rest, v))
            return std::nullopt;
    if (!rest.empty())
        return std::nullopt;
    return values;
}

std::optional<std::vector<std::uint64_t>> ColumnReader::numbers(std::uint64_t id) {
    std::uint64_t scale = 0;
    auto values = numbers(id, scale);
    // Only signed numbers are scaled.
    if (values && scale > 1 && !values->empty())
        return std::nullopt;
    return values;
}

std::optional<std::vector<std::uint64_t>> ColumnReader::signed_numbers(std::uint64_t id) {
    std::uint64_t scale = 0;
    auto values = numbers(id, scale);
    if (!values || scale == 1)
        return values;
    for (std::uint64_t& v : *values) {
        std::int64_t product = 0;
        if (__builtin_mul_overflow(unzigzag(v), static_cast<std::int64_t>(scale), &product))
            return std::nullopt;
        v = zigzag(product);
    }
    return values;
}

}  // namespace silverrail::trace

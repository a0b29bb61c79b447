#include "trace/format/field_column.h"

#include <algorithm>
#include <utility>

namespace silverrail::trace {

using model::Encoding;

void FieldEncoder::add_text(std::string_view text) {
    if (text.empty()) {
        values_.push_back(0);
        return;
    }
    has_values_ = true;
    auto place = text_places_.find(text);
    if (place == text_places_.end()) {
        place = text_places_.emplace(std::string{text}, next_place_++).first;
        put_varint(dictionary_, text.size());
        dictionary_.append(text);
    }
    values_.push_back(place->second);
}

void FieldEncoder::add_bits(std::uint64_t bits, Encoding encoding) {
    has_values_ = has_values_ || bits != 0;
    if (encoding != Encoding::dictionary || bits == 0) {
        values_.push_back(bits);
        return;
    }
    const auto [place, inserted] = number_places_.try_emplace(bits, next_place_);
    if (inserted) {
        ++next_place_;
        put_u64(dictionary_, bits);
    }
    values_.push_back(place->second);
}

void FieldEncoder::finish(ColumnWriter& columns, std::uint64_t id, Encoding encoding, bool is_signed) {
    if (!has_values_)
        return;
    switch (encoding) {
        case Encoding::fixed: {
            Bytes raw;
            raw.reserve(values_.size() * 8);
            for (const std::uint64_t v : values_)
                put_u64(raw, v);
            columns.add_bytes(id, values_.size(), raw);
            break;
        }
        case Encoding::dictionary:
            columns.add_numbers(id, values_);
            columns.add_bytes(dictionary_id(id), next_place_ - 1, dictionary_);
            break;
        case Encoding::delta: {
            std::uint64_t previous = 0;
            for (std::uint64_t& v : values_)
                v = zigzag(static_cast<std::int64_t>(v - std::exchange(previous, v)));
            columns.add_signed_numbers(id, values_);
            break;
        }
        case Encoding::plain:
            if (!is_signed) {
                columns.add_numbers(id, values_);
                break;
            }
            for (std::uint64_t& v : values_)
                v = zigzag(static_cast<std::int64_t>(v));
            columns.add_signed_numbers(id, values_);
            break;
    }
}

void FieldEncoder::clear() {
    values_.clear();
    has_values_ = false;
    dictionary_.clear();
    next_place_ = 1;
    number_places_.clear();
    text_places_.clear();
}

bool FieldDecoder::load(ColumnReader& columns, std::uint64_t id, Encoding encoding, bool is_signed,
                        bool is_text, std::size_t rows) {
    if (!columns.contains(id))
        return true;
    if (encoding == Encoding::fixed)
        return load_fixed(columns, id, rows);
    return load_numbers(columns, id, encoding, is_signed, rows) &&
           (encoding != Encoding::dictionary || load_dictionary(columns, dictionary_id(id), is_text));
}

bool FieldDecoder::load_fixed(ColumnReader& columns, std::uint64_t id, std::size_t rows) {
    const auto raw = columns.bytes(id);
    if (!raw || raw->size() != rows * 8)
        return false;
    values_.resize(rows);
    for (std::size_t i = 0; i < rows; ++i)
        values_[i] = u64_at(*raw, i * 8);
    return true;
}

bool FieldDecoder::load_numbers(ColumnReader& columns, std::uint64_t id, Encoding encoding, bool is_signed,
                                std::size_t rows) {
    const bool zigzagged = encoding == Encoding::delta || (encoding == Encoding::plain && is_signed);
    auto values = zigzagged ? columns.signed_numbers(id) : columns.numbers(id);
    if (!values || values->size() != rows)
        return false;
    values_ = std::move(*values);
    if (!zigzagged)
        return true;
    std::uint64_t previous = 0;
    for (std::uint64_t& v : values_) {
        v = static_cast<std::uint64_t>(unzigzag(v));
        if (encoding == Encoding::delta)
            v = previous += v;
    }
    return true;
}

bool FieldDecoder::load_dictionary(ColumnReader& columns, std::uint64_t id, bool is_text) {
    if (!columns.contains(id))
        return false;
    auto bytes = columns.bytes(id);
    if (!bytes)
        return false;
    dictionary_ = std::move(*bytes);
    if (!(is_text ? read_texts() : read_numbers()))
        return false;
    const std::size_t size = is_text ? texts_.size() : numbers_.size();
    return std::all_of(values_.begin(), values_.end(), [size](std::uint64_t place) { return place < size; });
}

bool FieldDecoder::read_texts() {
    texts_.emplace_back();  // place 0: the default
    ByteView rest = dictionary_;
    while (!rest.empty()) {
        std::uint64_t size = 0;
        if (!get_varint(rest, size) || size > rest.size())
            return false;
        texts_.push_back(rest.substr(0, size));
        rest.remove_prefix(size);
    }
    return true;
}

bool FieldDecoder::read_numbers() {
    numbers_.push_back(0);  // place 0: the default
    ByteView rest = dictionary_;
    for (std::uint64_t v = 0; get_u64(rest, v);)
        numbers_.push_back(v);
    return rest.empty();
}

}  // namespace silverrail::trace

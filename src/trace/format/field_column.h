// One field of one type of record as columns: how its values are encoded and decoded (docs/trace-format.md,
// "Codec").
#pragma once

#include <bit>
#include <cstdint>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <vector>

#include "trace/format/column.h"
#include "trace/model/records.h"

namespace silverrail::trace {

// Number of fields of a type of record.
template <class T>
std::size_t field_count() {
    std::size_t count = 0;
    T defaults{};
    T::fields(defaults, [&count](const char*, auto&, model::Encoding) { ++count; });
    return count;
}

// The encoding of a field of type F: texts and measurements always use a dictionary, one-byte fields never
// do.
template <class F>
constexpr model::Encoding effective_encoding(model::Encoding preferred) {
    if constexpr (std::is_same_v<F, model::Text> || std::is_same_v<F, double>)
        return model::Encoding::dictionary;
    if constexpr (std::is_same_v<F, bool> || std::is_same_v<F, std::uint8_t>)
        return model::Encoding::plain;
    return preferred;
}

// A value of any type but Text as 64 bits; the default value is 0.
template <class F>
std::uint64_t to_bits(const F& value) {
    if constexpr (std::is_same_v<F, double>)
        return std::bit_cast<std::uint64_t>(value);
    else
        return static_cast<std::uint64_t>(value);
}
template <class F>
F from_bits(std::uint64_t bits) {
    if constexpr (std::is_same_v<F, double>)
        return std::bit_cast<double>(bits);
    else if constexpr (std::is_same_v<F, bool>)
        return bits != 0;
    else
        return static_cast<F>(bits);
}

// Collects the values of a field. A field whose values are all the default has no columns.
class FieldEncoder {
public:
    // One of these for each record.
    void add_text(std::string_view text);
    void add_bits(std::uint64_t bits, model::Encoding encoding);
    // Writes the columns `id` and `id + 1`. Call once, before `clear`.
    void finish(ColumnWriter& columns, std::uint64_t id, model::Encoding encoding, bool is_signed);
    void clear();

private:
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return checksum(text);
        }
    };
    std::vector<std::uint64_t> values_;  // or places in the dictionary, from 1
    bool has_values_ = false;            // other than the default
    Bytes dictionary_;
    std::uint64_t next_place_ = 1;
    std::unordered_map<std::uint64_t, std::uint64_t> number_places_;
    std::unordered_map<std::string, std::uint64_t, Hash, std::equal_to<>> text_places_;
};

// The decoded values of a field.
class FieldDecoder {
public:
    // Decodes the columns `id` and `id + 1` of `rows` values; absent columns mean that all are the default.
    // False: they are malformed.
    bool load(ColumnReader& columns, std::uint64_t id, model::Encoding encoding, bool is_signed, bool is_text,
              std::size_t rows);
    bool all_default() const {
        return values_.empty();
    }
    // Unless `all_default`. A text is valid as long as the decoder.
    std::string_view text(std::size_t row) const {
        return texts_[values_[row]];
    }
    std::uint64_t bits(std::size_t row, model::Encoding encoding) const {
        return encoding == model::Encoding::dictionary ? numbers_[values_[row]] : values_[row];
    }

private:
    bool load_fixed(ColumnReader& columns, std::uint64_t id, std::size_t rows);
    bool load_numbers(ColumnReader& columns, std::uint64_t id, model::Encoding encoding, bool is_signed,
                      std::size_t rows);
    bool load_dictionary(ColumnReader& columns, std::uint64_t id, bool is_text);
    bool read_texts();
    bool read_numbers();

    std::vector<std::uint64_t> values_;
    Bytes dictionary_;
    std::vector<std::string_view> texts_;  // into `dictionary_`
    std::vector<std::uint64_t> numbers_;
};

}  // namespace silverrail::trace

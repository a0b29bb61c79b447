#include "trace/format/chunk_reader.h"

#include <utility>

namespace silverrail::trace {

using model::Encoding;
using model::Text;

std::unique_ptr<ChunkReader> ChunkReader::open(ByteView head) {
    std::unique_ptr<ChunkReader> reader{new ChunkReader};
    if (!reader->read_head(head))
        return nullptr;
    return reader;
}

bool ChunkReader::read_head(ByteView head) {
    std::uint64_t filter_bytes = 0;
    if (!get_summary(head, summary_) || !get_varint(head, filter_bytes) || filter_bytes > head.size())
        return false;
    filter_ = BloomFilter{Bytes{head.substr(0, filter_bytes)}};
    head.remove_prefix(filter_bytes);
    return columns_.read_directory(head);
}

std::map<std::string, std::uint64_t> ChunkReader::column_bytes() const {
    std::map<std::uint64_t, std::string> names{
        {kTypeColumn, "(types)"}, {kRouterColumn, "(sources)"}, {kTimeColumn, "(times)"}};
    for (std::size_t type = 0; type < model::kTypes; ++type)
        model::with_type(type, [&]<class T>(T defaults) {
            std::size_t position = 0;
            T::fields(defaults, [&](const char* name, auto&, Encoding) {
                const std::uint64_t id = column_id(type, position++);
                names[id] = std::string{T::kName} + "." + name;
                names[dictionary_id(id)] = names[id] + ".words";
            });
        });
    std::map<std::string, std::uint64_t> bytes;
    for (const auto& [id, column] : columns_.entries()) {
        const auto name = names.find(id);
        bytes[name == names.end() ? "(unknown)" : name->second] += column.stored_bytes;
    }
    return bytes;
}

bool ChunkReader::load_routers() {
    routers_.clear();
    if (!columns_.contains(kRouterColumn))
        return true;
    const auto raw = columns_.bytes(kRouterColumn);
    if (!raw)
        return false;
    ByteView rest = *raw;
    routers_.resize(summary_.records);
    for (std::uint64_t& router : routers_)
        if (!get_varint(rest, router) || router > 0xffffffffU)
            return false;
    return rest.empty();
}

bool ChunkReader::load_record_columns() {
    if (!columns_.contains(kTypeColumn) || !columns_.contains(kTimeColumn))
        return false;
    auto types = columns_.bytes(kTypeColumn);
    if (!types || types->size() != summary_.records)
        return false;
    auto times = columns_.signed_numbers(kTimeColumn);
    if (!times || times->size() != summary_.records)
        return false;
    types_ = std::move(*types);
    times_ = std::move(*times);
    return load_routers();
}

std::array<std::size_t, ChunkReader::kMaxTypes> ChunkReader::rows_by_type() const {
    std::array<std::size_t, kMaxTypes> rows{};
    for (const char type : types_)
        if (static_cast<unsigned char>(type) < kMaxTypes)
            ++rows[static_cast<unsigned char>(type)];
    return rows;
}

bool ChunkReader::load(Bytes body, Types wanted) {
    wanted_ = wanted;
    next_ = 0;
    unknown_records_ = 0;
    last_time_.clear();
    const bool valid = columns_.set_body(std::move(body)) && load_record_columns() && load_wanted_types();
    if (!valid)
        types_.clear();  // `next` has nothing to read
    return valid;
}

bool ChunkReader::load_wanted_types() {
    decoders_.clear();
    decoders_.resize(model::kTypes);
    const auto rows = rows_by_type();
    for (std::size_t type = 0; type < model::kTypes; ++type) {
        if (rows[type] == 0 || !(wanted_ >> type & 1))
            continue;
        decoders_[type] = std::make_unique<TypeDecoder>();
        decoders_[type]->rows = rows[type];
        if (!load_fields(type))
            return false;
    }
    return true;
}

bool ChunkReader::load_fields(std::size_t type) {
    TypeDecoder& decoder = *decoders_[type];
    bool valid = true;
    model::with_type(type, [&]<class T>(T defaults) {
        decoder.fields.resize(field_count<T>());
        std::size_t position = 0;
        T::fields(defaults, [&](const char*, auto& value, Encoding preferred) {
            using F = std::decay_t<decltype(value)>;
            FieldDecoder& field = decoder.fields[position];
            valid =
                valid && field.load(columns_, column_id(type, position), effective_encoding<F>(preferred),
                                    std::is_same_v<F, std::int64_t>, std::is_same_v<F, Text>, decoder.rows);
            ++position;
        });
    });
    return valid;
}

void ChunkReader::read_fields(std::size_t type, Record& record) {
    TypeDecoder& decoder = *decoders_[type];
    const std::size_t row = decoder.next_row++;
    model::with_type(type, [&]<class T>(T) {
        T& body = record.body.template emplace<T>();
        std::size_t position = 0;
        T::fields(body, [&](const char*, auto& value, Encoding preferred) {
            using F = std::decay_t<decltype(value)>;
            const FieldDecoder& field = decoder.fields[position++];
            if (field.all_default())
                value = F{};
            else if constexpr (std::is_same_v<F, Text>)
                value = field.text(row);
            else
                value = from_bits<F>(field.bits(row, effective_encoding<F>(preferred)));
        });
    });
}

bool ChunkReader::next(Record& record, bool& from_snapshot) {
    while (next_ < types_.size()) {
        const std::size_t i = next_++;
        record.router_index = routers_.empty() ? 0 : static_cast<std::uint32_t>(routers_[i]);
        std::int64_t& last = last_time_[record.router_index];
        last = sum(last, unzigzag(times_[i]));
        record.at = last;
        const auto type = static_cast<unsigned char>(types_[i]);
        if (type >= model::kTypes) {
            ++unknown_records_;
            continue;
        }
        if (!(wanted_ >> type & 1))
            continue;
        from_snapshot = i < summary_.snapshot_records;
        read_fields(type, record);
        return true;
    }
    return false;
}

}  // namespace silverrail::trace

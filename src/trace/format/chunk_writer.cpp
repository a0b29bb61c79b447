#include "trace/format/chunk_writer.h"

#include <utility>

#include "trace/format/bloom_filter.h"

namespace silverrail::trace {

using model::Encoding;
using model::Text;

ChunkWriter::ChunkWriter() : fields_(model::kTypes) {
    for (std::size_t type = 0; type < model::kTypes; ++type)
        model::with_type(type, [&]<class T>(T) { fields_[type].resize(field_count<T>()); });
}

void ChunkWriter::add(const Record& record, std::int64_t unix_ns, bool from_snapshot) {
    summary_.add(record, unix_ns, from_snapshot);
    if (const auto* received = std::get_if<model::RequestReceived>(&record.body)) {
        filter_keys_.push_back(request_key(received->client_request_number, received->client_request_id));
        filter_keys_.push_back(object_key(received->object));
    }
    const std::size_t type = record.body.index();
    types_.push_back(static_cast<char>(type));
    put_varint(routers_, record.router_index);
    several_routers_ = several_routers_ || record.router_index != 0;
    std::int64_t& last = last_time_[record.router_index];
    times_.push_back(zigzag(difference(record.at, std::exchange(last, record.at))));
    std::visit(
        [this, type](const auto& body) {
            using T = std::decay_t<decltype(body)>;
            std::size_t position = 0;
            T::fields(body, [&](const char*, const auto& value, Encoding preferred) {
                using F = std::decay_t<decltype(value)>;
                FieldEncoder& field = fields_[type][position++];
                if constexpr (std::is_same_v<F, Text>)
                    field.add_text(value);
                else
                    field.add_bits(to_bits(value), effective_encoding<F>(preferred));
            });
        },
        record.body);
}

void ChunkWriter::write_columns(ColumnWriter& columns) {
    columns.add_bytes(kTypeColumn, types_.size(), types_);
    if (several_routers_)
        columns.add_bytes(kRouterColumn, types_.size(), routers_);
    columns.add_signed_numbers(kTimeColumn, times_);
    for (std::size_t type = 0; type < fields_.size(); ++type)
        model::with_type(type, [&]<class T>(T defaults) {
            std::size_t position = 0;
            T::fields(defaults, [&](const char*, auto& value, Encoding preferred) {
                using F = std::decay_t<decltype(value)>;
                FieldEncoder& field = fields_[type][position];
                field.finish(columns, column_id(type, position), effective_encoding<F>(preferred),
                             std::is_same_v<F, std::int64_t>);
                ++position;
            });
        });
}

void ChunkWriter::put_filter(Bytes& head) const {
    BloomFilter filter{filter_keys_.size()};
    for (const std::uint64_t key : filter_keys_)
        filter.add(key);
    put_varint(head, filter.bits().size());
    head += filter.bits();
}

ChunkWriter::Chunk ChunkWriter::finish(int zstd_level) {
    ColumnWriter columns{zstd_, zstd_level};
    write_columns(columns);
    Chunk chunk;
    chunk.summary = summary_;
    put_summary(chunk.head, summary_);
    put_filter(chunk.head);
    columns.put_directory(chunk.head);
    chunk.body = columns.take_body();
    clear();
    return chunk;
}

void ChunkWriter::clear() {
    summary_ = {};
    types_.clear();
    routers_.clear();
    several_routers_ = false;
    times_.clear();
    last_time_.clear();
    filter_keys_.clear();
    for (auto& type : fields_)
        for (FieldEncoder& field : type)
            field.clear();
}

}  // namespace silverrail::trace

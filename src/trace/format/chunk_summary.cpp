#include "trace/format/chunk_summary.h"

#include <algorithm>

namespace silverrail::trace {

namespace {

constexpr std::uint64_t kServerSeed = 0x626f78;
constexpr std::uint64_t kRequestSeed = 0x63616c6c;
constexpr std::uint64_t kObjectSeed = 0x6f626a;
constexpr int kLastClassBit = 63;
constexpr int kLastResponseBit = 15;
constexpr int kFirstAttemptStatusBit = 16;
constexpr int kLastBit = 63;

std::uint64_t server_bit(std::string_view server) {
    return checksum(server, kServerSeed) & 255;
}

std::uint64_t bit(std::uint64_t index, int last) {
    return std::uint64_t{1} << std::min<std::uint64_t>(index, static_cast<std::uint64_t>(last));
}

}  // namespace

void ChunkSummary::add_server(std::string_view server) {
    if (server.empty())
        return;
    const auto index = server_bit(server);
    servers[index / 64] |= std::uint64_t{1} << (index % 64);
}

bool ChunkSummary::may_contain_server(std::string_view server) const {
    const auto index = server_bit(server);
    return servers[index / 64] >> (index % 64) & 1;
}

void ChunkSummary::add(const Record& record, std::int64_t unix_ns, bool from_snapshot) {
    ++records;
    if (from_snapshot) {
        ++snapshot_records;
    } else {
        const bool first = new_records() == 1;
        first_unix_ns = first ? unix_ns : std::min(first_unix_ns, unix_ns);
        last_unix_ns = first ? unix_ns : std::max(last_unix_ns, unix_ns);
        types |= Types{1} << record.body.index();
    }
    // Of requests that were open before, too: a search may ask for them.
    if (const auto* received = std::get_if<model::RequestReceived>(&record.body)) {
        classes |= bit(received->class_index, kLastClassBit);
    } else if (const auto* sent = std::get_if<model::AttemptSent>(&record.body)) {
        add_server(sent->target);
        add_server(sent->fill_source);
    } else if (const auto* ended = std::get_if<model::AttemptEnded>(&record.body)) {
        outcomes |= bit(kFirstAttemptStatusBit + std::uint64_t{ended->attempt_status}, kLastBit);
    } else if (const auto* response = std::get_if<model::ResponseSent>(&record.body)) {
        outcomes |= bit(response->kind, kLastResponseBit);
    } else if (const auto* entry = std::get_if<model::ServerListEntry>(&record.body)) {
        if (!from_snapshot)
            add_server(entry->id);
    }
}

std::uint64_t request_key(std::uint64_t client_request_number, std::string_view client_request_id) {
    if (!client_request_id.empty())
        return checksum(client_request_id, kRequestSeed);
    return checksum({reinterpret_cast<const char*>(&client_request_number), sizeof client_request_number},
                    kRequestSeed);
}

std::uint64_t object_key(std::uint64_t object) {
    return checksum({reinterpret_cast<const char*>(&object), sizeof object}, kObjectSeed);
}

void put_summary(Bytes& out, const ChunkSummary& summary) {
    put_varint(out, summary.records);
    put_varint(out, summary.snapshot_records);
    put_varint(out, zigzag(summary.first_unix_ns));
    put_varint(out, zigzag(summary.last_unix_ns));
    put_varint(out, summary.types);
    put_varint(out, summary.classes);
    put_varint(out, summary.outcomes);
    for (const std::uint64_t bits : summary.servers)
        put_u64(out, bits);
}

bool get_summary(ByteView& in, ChunkSummary& summary) {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    if (!get_varint(in, summary.records) || !get_varint(in, summary.snapshot_records) ||
        !get_varint(in, first) || !get_varint(in, last) || !get_varint(in, summary.types) ||
        !get_varint(in, summary.classes) || !get_varint(in, summary.outcomes))
        return false;
    for (std::uint64_t& bits : summary.servers)
        if (!get_u64(in, bits))
            return false;
    summary.first_unix_ns = unzigzag(first);
    summary.last_unix_ns = unzigzag(last);
    return summary.snapshot_records <= summary.records && summary.records <= kMaxChunkRecords;
}

}  // namespace silverrail::trace

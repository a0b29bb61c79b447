// Messages and entries of the replicated state in MessagePack.
#include "cluster/codec/msgpack_fields.h"

namespace silverrail::cluster::codec {

namespace {

constexpr std::uint32_t kMessageFields = 13;
constexpr std::uint32_t kUpdateFields = 5;
constexpr std::uint32_t kWriteFields = 5;
constexpr std::uint32_t kVersionFields = 2;

void pack(Packer& packer, const VersionVector& versions) {
    packer.pack_array(static_cast<std::uint32_t>(versions.size()));
    for (const auto& [writer, version] : versions) {
        packer.pack_array(kVersionFields);
        packer.pack(writer);
        packer.pack(version);
    }
}

VersionVector read_versions(const msgpack::object& object) {
    VersionVector out;
    read_array(object, ReplicaMessage::kMaxVersions, [&out](const msgpack::object& item) {
        require_array_of(item, kVersionFields);
        out.emplace(read_string(item_at(item, 0), kMaxWriterLength), read_unsigned(item_at(item, 1)));
    });
    return out;
}

void pack(Packer& packer, const ReplicaUpdate& update) {
    packer.pack_array(kUpdateFields);
    packer.pack(update.writer);
    packer.pack(update.version);
    packer.pack(update.key);
    pack_entry_fields(packer, update.entry);
}

ReplicaUpdate read_update(const msgpack::object& object) {
    require_array_of(object, kUpdateFields);
    ReplicaUpdate out;
    out.writer = read_string(item_at(object, 0), kMaxWriterLength);
    out.version = read_unsigned(item_at(object, 1));
    out.key = read_string(item_at(object, 2), kMaxKeyLength);
    out.entry = read_entry(item_at(object, 3), item_at(object, 4));
    return out;
}

KeyWrite read_write(const msgpack::object& object) {
    return {read_unsigned(item_at(object, 1)), read_unsigned(item_at(object, 2)),
            read_unsigned(item_at(object, 3)), read_string(item_at(object, 4), kMaxValueLength)};
}

}  // namespace

// Packs two fields: the time of the change, and the writes.
void pack_entry_fields(Packer& packer, const ReplicatedEntry& entry) {
    packer.pack(entry.changed);
    packer.pack_array(static_cast<std::uint32_t>(entry.writes.size()));
    for (const auto& [writer, write] : entry.writes) {
        packer.pack_array(kWriteFields);
        packer.pack(writer);
        packer.pack(write.set_version);
        packer.pack(write.cleared_version);
        packer.pack(write.timestamp);
        packer.pack(write.value);
    }
}

ReplicatedEntry read_entry(const msgpack::object& changed, const msgpack::object& writes) {
    ReplicatedEntry out;
    out.changed = read_unsigned(changed);
    read_array(writes, kMaxWrites, [&out](const msgpack::object& item) {
        require_array_of(item, kWriteFields);
        out.writes.emplace(read_string(item_at(item, 0), kMaxWriterLength), read_write(item));
    });
    return out;
}

void pack(Packer& packer, const ReplicaMessage& message) {
    packer.pack_array(kMessageFields);
    packer.pack(kVersion);
    packer.pack(static_cast<std::uint8_t>(kFirstReplicaKind + static_cast<std::uint8_t>(message.kind)));
    packer.pack(message.channel);
    packer.pack(message.sender);
    packer.pack(message.sender_address);
    if (message.kind == ReplicaMessage::Kind::digest)
        pack_u64_array(packer, message.digest);
    else
        packer.pack_nil();
    packer.pack(message.bucket_mask);
    pack(packer, message.versions);
    packer.pack_array(static_cast<std::uint32_t>(message.updates.size()));
    for (const auto& update : message.updates)
        pack(packer, update);
    pack(packer, message.base_versions);
    packer.pack(message.cursor);
    packer.pack(message.snapshot_needed);
    packer.pack(message.complete);
}

ReplicaMessage read_replica_message(const msgpack::object& object, Transport transport) {
    require_array_of(object, kMessageFields);
    ReplicaMessage out;
    out.kind =
        read_enum(read_unsigned(item_at(object, 1)) - kFirstReplicaKind, ReplicaMessage::Kind::snapshot_page);
    out.channel = static_cast<std::uint8_t>(read_unsigned(item_at(object, 2), UINT8_MAX));
    out.sender = read_string(item_at(object, 3), kMaxNameLength);
    out.sender_address = read_string(item_at(object, 4), kMaxAddressLength);
    if (item_at(object, 5).type != msgpack::type::NIL)
        out.digest = read_u64_array<kDigestBuckets>(item_at(object, 5));
    out.bucket_mask = read_unsigned(item_at(object, 6));
    out.versions = read_versions(item_at(object, 7));
    const auto max_updates =
        transport == Transport::stream ? ReplicaMessage::kMaxUpdates : kMaxDatagramRecords;
    read_array(item_at(object, 8), max_updates,
               [&out](const msgpack::object& item) { out.updates.push_back(read_update(item)); });
    out.base_versions = read_versions(item_at(object, 9));
    out.cursor = read_string(item_at(object, 10), kMaxKeyLength);
    out.snapshot_needed = read_bool(item_at(object, 11));
    out.complete = read_bool(item_at(object, 12));
    return out;
}

}  // namespace silverrail::cluster::codec

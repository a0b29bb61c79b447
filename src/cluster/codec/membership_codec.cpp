// Membership messages in MessagePack.
#include <algorithm>

#include "cluster/codec/msgpack_fields.h"

namespace silverrail::cluster::codec {

namespace {

constexpr std::uint32_t kMessageFields = 10;
constexpr std::uint32_t kRecordFields = 8;
constexpr std::size_t kDigestLength = kDigestBuckets + 1;

void pack(Packer& packer, const MemberRecord& record) {
    packer.pack_array(kRecordFields);
    packer.pack(record.identity.name);
    packer.pack(record.identity.address);
    packer.pack(record.identity.zone);
    packer.pack(record.identity.region);
    packer.pack(record.start);
    packer.pack(record.incarnation);
    packer.pack(static_cast<std::uint8_t>(record.state));
    packer.pack(record.reported_by);
}

MemberRecord read_record(const msgpack::object& object) {
    require_array_of(object, kRecordFields);
    MemberRecord out;
    out.identity.name = read_string(item_at(object, 0), kMaxNameLength);
    out.identity.address = read_string(item_at(object, 1), kMaxAddressLength);
    out.identity.zone = read_string(item_at(object, 2), kMaxZoneLength);
    out.identity.region = read_string(item_at(object, 3), kMaxZoneLength);
    out.start = read_unsigned(item_at(object, 4));
    out.incarnation = read_unsigned(item_at(object, 5));
    out.state = read_enum(read_unsigned(item_at(object, 6)), MemberState::left);
    out.reported_by = read_string(item_at(object, 7), kMaxNameLength);
    return out;
}

void pack(Packer& packer, const MembershipDigest& digest) {
    std::array<std::uint64_t, kDigestLength> numbers{digest.members};
    std::copy(digest.buckets.begin(), digest.buckets.end(), numbers.begin() + 1);
    pack_u64_array(packer, numbers);
}

std::optional<MembershipDigest> read_digest(const msgpack::object& object) {
    if (object.type == msgpack::type::NIL)
        return std::nullopt;
    const auto numbers = read_u64_array<kDigestLength>(object);
    MembershipDigest out;
    out.members = numbers[0];
    std::copy(numbers.begin() + 1, numbers.end(), out.buckets.begin());
    return out;
}

}  // namespace

void pack(Packer& packer, const MembershipMessage& message) {
    packer.pack_array(kMessageFields);
    packer.pack(kVersion);
    packer.pack(static_cast<std::uint8_t>(message.kind));
    packer.pack(message.sender);
    packer.pack(message.sender_start);
    packer.pack(message.sender_address);
    packer.pack(message.sequence);
    packer.pack(message.target);
    packer.pack(message.target_address);
    packer.pack_array(static_cast<std::uint32_t>(message.records.size()));
    for (const auto& record : message.records)
        pack(packer, record);
    if (message.digest)
        pack(packer, *message.digest);
    else
        packer.pack_nil();
}

MembershipMessage read_membership_message(const msgpack::object& object, Transport transport) {
    require_array_of(object, kMessageFields);
    MembershipMessage out;
    out.kind = read_enum(read_unsigned(item_at(object, 1)), MembershipMessage::Kind::gossip);
    out.sender = read_string(item_at(object, 2), kMaxNameLength);
    out.sender_start = read_unsigned(item_at(object, 3));
    out.sender_address = read_string(item_at(object, 4), kMaxAddressLength);
    out.sequence = static_cast<std::uint32_t>(read_unsigned(item_at(object, 5), UINT32_MAX));
    out.target = read_string(item_at(object, 6), kMaxNameLength);
    out.target_address = read_string(item_at(object, 7), kMaxAddressLength);
    const auto max_records =
        transport == Transport::stream ? MembershipMessage::kMaxRecords : kMaxDatagramRecords;
    read_array(item_at(object, 8), max_records,
               [&out](const msgpack::object& item) { out.records.push_back(read_record(item)); });
    out.digest = read_digest(item_at(object, 9));
    return out;
}

}  // namespace silverrail::cluster::codec

#include "cluster/codec/message_codec.h"

#include "cluster/codec/msgpack_fields.h"

namespace silverrail::cluster::codec {

namespace {

constexpr std::size_t kDigestBytes = (kDigestBuckets + 1) * 8;
constexpr std::size_t kMaxDepth = 6;
constexpr std::size_t kMaxMessageFields = 16;

// msgpack-cxx rejects any array, map or string above these limits while parsing, so that a forged length in a
// small datagram cannot cause a large allocation.
msgpack::unpack_limit unpack_limits(Transport transport) {
    static_assert(ReplicaMessage::kMaxUpdates <= MembershipMessage::kMaxRecords &&
                  ReplicaMessage::kMaxVersions <= MembershipMessage::kMaxRecords &&
                  kMaxKeyLength >= kMaxAddressLength && kMaxKeyLength >= kMaxValueLength &&
                  kMaxKeyLength >= kMaxWriterLength);
    const auto max_records =
        transport == Transport::stream ? MembershipMessage::kMaxRecords : kMaxDatagramRecords;
    return {max_records + kMaxMessageFields, 0, kMaxKeyLength + 1, kDigestBytes, 0, kMaxDepth};
}

// Unpacks a single object; trailing bytes are an error.
msgpack::object_handle unpack(std::string_view bytes, Transport transport) {
    std::size_t offset = 0;
    auto out =
        msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpack_limits(transport));
    if (offset != bytes.size())
        throw DecodeFailure{DecodeError::undecodable};
    return out;
}

template <class Message>
std::string encode_message(const Message& message) {
    msgpack::sbuffer buffer;
    Packer packer{buffer};
    pack(packer, message);
    return {buffer.data(), buffer.size()};
}

std::variant<MembershipMessage, ReplicaMessage, DecodeError> decode_message(std::string_view bytes,
                                                                            Transport transport) {
    const auto handle = unpack(bytes, transport);
    const msgpack::object& object = handle.get();
    if (read_unsigned(item_at(object, 0)) != kVersion)
        return DecodeError::other_version;
    if (read_unsigned(item_at(object, 1)) >= kFirstReplicaKind)
        return read_replica_message(object, transport);
    return read_membership_message(object, transport);
}

}  // namespace

const char* name_of(DecodeError error) {
    switch (error) {
        case DecodeError::undecodable:
            return "undecodable";
        case DecodeError::oversize:
            return "oversize";
        case DecodeError::other_version:
            return "other_version";
        case DecodeError::out_of_bounds:
            return "out_of_bounds";
    }
    return "?";
}

std::string encode(const MembershipMessage& message) {
    return encode_message(message);
}

std::string encode(const ReplicaMessage& message) {
    return encode_message(message);
}

std::variant<MembershipMessage, ReplicaMessage, DecodeError> decode(std::string_view bytes,
                                                                    Transport transport) {
    if (bytes.size() > (transport == Transport::stream ? kMaxFrameBytes : kMaxDatagramBytes))
        return DecodeError::oversize;
    try {
        return decode_message(bytes, transport);
    } catch (const DecodeFailure& failure) {
        return failure.error;
    } catch (const msgpack::size_overflow&) {
        return DecodeError::out_of_bounds;
    } catch (const std::exception&) {
        return DecodeError::undecodable;
    }
}

std::string encode(const ReplicatedEntry& entry) {
    msgpack::sbuffer buffer;
    Packer packer{buffer};
    packer.pack_array(2);
    pack_entry_fields(packer, entry);
    return {buffer.data(), buffer.size()};
}

std::optional<ReplicatedEntry> decode_entry(std::string_view bytes) {
    try {
        const auto handle = unpack(bytes, Transport::datagram);
        const msgpack::object& object = handle.get();
        require_array_of(object, 2);
        return read_entry(item_at(object, 0), item_at(object, 1));
    } catch (const DecodeFailure&) {
        return std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string frame_header(std::size_t length) {
    const auto n = static_cast<std::uint32_t>(length);
    return {static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8),
            static_cast<char>(n)};
}

std::uint32_t frame_length(const unsigned char header[4]) {
    return (std::uint32_t{header[0]} << 24) | (std::uint32_t{header[1]} << 16) |
           (std::uint32_t{header[2]} << 8) | header[3];
}

}  // namespace silverrail::cluster::codec

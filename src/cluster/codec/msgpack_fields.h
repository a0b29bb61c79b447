// Reads and writes single MessagePack fields and checks their bounds. Internal to the codecs.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "cluster/codec/message_codec.h"

namespace silverrail::cluster::codec {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Thrown by the reading functions; `decode` returns its `error`.
struct DecodeFailure {
    DecodeError error;
};

inline const msgpack::object& item_at(const msgpack::object& array, std::uint32_t index) {
    if (array.type != msgpack::type::ARRAY || index >= array.via.array.size)
        throw DecodeFailure{DecodeError::undecodable};
    return array.via.array.ptr[index];
}

inline void require_array_of(const msgpack::object& object, std::uint32_t size) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size)
        throw DecodeFailure{DecodeError::undecodable};
}

inline std::string read_string(const msgpack::object& object, std::size_t max_length) {
    if (object.type != msgpack::type::STR)
        throw DecodeFailure{DecodeError::undecodable};
    if (object.via.str.size > max_length)
        throw DecodeFailure{DecodeError::out_of_bounds};
    return {object.via.str.ptr, object.via.str.size};
}

inline std::uint64_t read_unsigned(const msgpack::object& object) {
    if (object.type != msgpack::type::POSITIVE_INTEGER)
        throw DecodeFailure{DecodeError::undecodable};
    return object.via.u64;
}

// For values that are stored in a narrower type.
inline std::uint64_t read_unsigned(const msgpack::object& object, std::uint64_t max) {
    const auto out = read_unsigned(object);
    if (out > max)
        throw DecodeFailure{DecodeError::out_of_bounds};
    return out;
}

// Converts a value to an enumerator; `last` is the enumeration's last one.
template <class Enum>
Enum read_enum(std::uint64_t value, Enum last) {
    if (value > static_cast<std::uint64_t>(last))
        throw DecodeFailure{DecodeError::undecodable};
    return static_cast<Enum>(value);
}

inline bool read_bool(const msgpack::object& object) {
    if (object.type != msgpack::type::BOOLEAN)
        throw DecodeFailure{DecodeError::undecodable};
    return object.via.boolean;
}

// Calls `read_item` for each item of an array of at most `max_size` items.
template <class ReadItem>
void read_array(const msgpack::object& object, std::size_t max_size, ReadItem read_item) {
    if (object.type != msgpack::type::ARRAY)
        throw DecodeFailure{DecodeError::undecodable};
    if (object.via.array.size > max_size)
        throw DecodeFailure{DecodeError::out_of_bounds};
    for (std::uint32_t i = 0; i < object.via.array.size; ++i)
        read_item(object.via.array.ptr[i]);
}

// An array of 64-bit numbers as a binary field, little-endian.
template <std::size_t N>
void pack_u64_array(Packer& packer, const std::array<std::uint64_t, N>& numbers) {
    std::string bytes;
    for (const auto number : numbers)
        for (int i = 0; i < 8; ++i)
            bytes += static_cast<char>(number >> (8 * i));
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

template <std::size_t N>
std::array<std::uint64_t, N> read_u64_array(const msgpack::object& object) {
    if (object.type != msgpack::type::BIN || object.via.bin.size != N * 8)
        throw DecodeFailure{DecodeError::undecodable};
    std::array<std::uint64_t, N> out{};
    for (std::size_t i = 0; i < N * 8; ++i)
        out[i / 8] |= std::uint64_t{static_cast<unsigned char>(object.via.bin.ptr[i])} << (8 * (i % 8));
    return out;
}

// Messages and entries; message_codec.h has the order of their fields.
void pack(Packer& packer, const MembershipMessage& message);
MembershipMessage read_membership_message(const msgpack::object& object, Transport transport);
void pack(Packer& packer, const ReplicaMessage& message);
ReplicaMessage read_replica_message(const msgpack::object& object, Transport transport);
void pack_entry_fields(Packer& packer, const ReplicatedEntry& entry);
ReplicatedEntry read_entry(const msgpack::object& changed, const msgpack::object& writes);

// On the wire, kinds from this value on are those of replicated-state messages; lower ones are of membership.
inline constexpr std::uint8_t kFirstReplicaKind = 32;

}  // namespace silverrail::cluster::codec

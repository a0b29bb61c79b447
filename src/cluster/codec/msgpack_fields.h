// Reading and writing of single fields, with their bounds. For the codecs alone.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "cluster/codec/message_codec.h"

namespace silverrail::cluster::codec {

using Packer = msgpack::packer<msgpack::sbuffer>;

// Thrown by the reading functions; `decode` returns what it holds.
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

// For numbers of a narrower type.
inline std::uint64_t read_unsigned(const msgpack::object& object, std::uint64_t max) {
    const auto out = read_unsigned(object);
    if (out > max)
        throw DecodeFailure{DecodeError::out_of_bounds};
    return out;
}

// An enumerator, by its value; `last` is the last there is.
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

// Calls `read_item` with each item of an array.
template <class ReadItem>
void read_array(const msgpack::object& object, std::size_t max_size, ReadItem read_item) {
    if (object.type != msgpack::type::ARRAY)
        throw DecodeFailure{DecodeError::undecodable};
    if (object.via.array.size > max_size)
        throw DecodeFailure{DecodeError::out_of_bounds};
    for (std::uint32_t i = 0; i < object.via.array.size; ++i)
        read_item(object.via.array.ptr[i]);
}

// Numbers of eight bytes, little-endian.
template <std::size_t N>
void pack_words(Packer& packer, const std::array<std::uint64_t, N>& words) {
    std::string bytes;
    for (const auto word : words)
        for (int i = 0; i < 8; ++i)
            bytes += static_cast<char>(word >> (8 * i));
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

template <std::size_t N>
std::array<std::uint64_t, N> read_words(const msgpack::object& object) {
    if (object.type != msgpack::type::BIN || object.via.bin.size != N * 8)
        throw DecodeFailure{DecodeError::undecodable};
    std::array<std::uint64_t, N> out{};
    for (std::size_t i = 0; i < N * 8; ++i)
        out[i / 8] |= std::uint64_t{static_cast<unsigned char>(object.via.bin.ptr[i])} << (8 * (i % 8));
    return out;
}

// The messages and entries of each part; their arrays' items as message_codec.h says.
void pack(Packer& packer, const MembershipMessage& message);
MembershipMessage read_membership_message(const msgpack::object& object, Transport transport);
void pack(Packer& packer, const ReplicaMessage& message);
ReplicaMessage read_replica_message(const msgpack::object& object, Transport transport);
void pack_entry_fields(Packer& packer, const ReplicatedEntry& entry);
ReplicatedEntry read_entry(const msgpack::object& changed, const msgpack::object& writes);

// The kinds of the replicated state's messages come after those of membership.
inline constexpr std::uint8_t kFirstReplicaKind = 32;

}  // namespace silverrail::cluster::codec

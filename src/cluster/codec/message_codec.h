// Encodes and decodes messages between routers as MessagePack (msgpack-cxx), format version 1. Does no I/O.
//
// A membership message is the array [version, kind, sender, sender_start, sender_address, sequence, target,
// target_address, records, digest]:
// - digest: nil, or (kDigestBuckets + 1) * 8 bytes, little-endian
// - a record: [name, address, zone, region, start, incarnation, state, reported_by]
// - member_record.h has the maximum lengths of strings; a datagram holds at most kMaxDatagramRecords records,
//   a message on a stream at most MembershipMessage::kMaxRecords
//
// A message of replicated state is the array [version, 32 + kind, channel, sender, sender_address, digest,
// bucket_mask, versions, updates, base_versions, cursor, snapshot_needed, complete]:
// - digest: nil, or kDigestBuckets * 8 bytes, little-endian
// - versions and base_versions: [[writer, version], ...]
// - an update: [writer, version, key, changed, writes]
// - a write: [writer, set_version, cleared_version, timestamp, value]
//
// A datagram is one message of at most kMaxDatagramBytes. On a stream each message is preceded by its length,
// four bytes big-endian, of at most kMaxFrameBytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/membership/membership_message.h"
#include "cluster/replicated_state/replica_message.h"

namespace silverrail::cluster::codec {

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kMaxDatagramBytes = 1400;  // with headers below the Ethernet and loopback MTU
inline constexpr std::size_t kMaxDatagramRecords = 16;
inline constexpr std::size_t kMaxFrameBytes = 1 << 20;  // a full view of 4,096 members fits

// Why a message was rejected. The transport has a counter for each reason.
enum class DecodeError : std::uint8_t { undecodable, oversize, other_version, out_of_bounds };
const char* name_of(DecodeError error);

enum class Transport { datagram, stream };

std::string encode(const MembershipMessage& message);
std::string encode(const ReplicaMessage& message);
// `transport` determines the maximum length of the message and of its arrays.
std::variant<MembershipMessage, ReplicaMessage, DecodeError> decode(std::string_view bytes,
                                                                    Transport transport);

// An entry in its stored form: [changed, writes]. `decode_entry` returns nullopt if the bytes are undecodable
// or out of bounds.
std::string encode(const ReplicatedEntry& entry);
std::optional<ReplicatedEntry> decode_entry(std::string_view bytes);

// The four bytes of length before a message on a stream. The reader checks the length against kMaxFrameBytes.
std::string frame_header(std::size_t length);
std::uint32_t frame_length(const unsigned char header[4]);

}  // namespace silverrail::cluster::codec

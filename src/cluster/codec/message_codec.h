// The peers' messages as bytes, and back: MessagePack (msgpack-cxx), version 1. Pure: no I/O.
//
// A membership message is one array: [version, kind, sender, sender_start, sender_address, sequence, target,
// target_address, records, digest], the digest nil or (kDigestBuckets + 1) * 8 bytes, little-endian; a record
// is [name, address, zone, region, start, incarnation, state, reported_by]. Strings are bounded as
// member_record.h says, the records of a datagram by kMaxDatagramRecords, of a stream by
// MembershipMessage::kMaxRecords. A datagram is one message of at most kMaxDatagramBytes; on a stream each
// message is preceded by its length, four bytes big-endian, at most kMaxFrameBytes.
//
// A message of a replicated state is [version, 32 + kind, channel, sender, sender_address, digest,
// bucket_mask, versions, updates, base_versions, cursor, snapshot_needed, complete], its digest nil or
// kDigestBuckets * 8 bytes, versions and base_versions [[origin, version], ...], an update [origin, version,
// key, changed, writes], a write [origin, set_version, cleared_version, timestamp, value].
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
inline constexpr std::size_t kMaxDatagramBytes = 1400;  // below a loopback or Ethernet MTU with its headers
inline constexpr std::size_t kMaxDatagramRecords = 16;
inline constexpr std::size_t kMaxFrameBytes = 1 << 20;  // a full view of 4,096 members fits

// Why bytes were rejected; the transport counts each.
enum class DecodeError : std::uint8_t { undecodable, oversize, other_version, out_of_bounds };
const char* name_of(DecodeError error);

enum class Transport { datagram, stream };

std::string encode(const MembershipMessage& message);
std::string encode(const ReplicaMessage& message);
// The bounds are those of the transport.
std::variant<MembershipMessage, ReplicaMessage, DecodeError> decode(std::string_view bytes,
                                                                    Transport transport);

// An entry as the store holds it: [changed, writes]. Empty: undecodable or out of bounds.
std::string encode(const ReplicatedEntry& entry);
std::optional<ReplicatedEntry> decode_entry(std::string_view bytes);

// The four bytes of length before a message on a stream; the reader checks it against kMaxFrameBytes.
std::string frame_header(std::size_t length);
std::uint32_t frame_length(const unsigned char header[4]);

}  // namespace silverrail::cluster::codec

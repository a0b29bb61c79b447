// The peers' messages as bytes, and back: MessagePack (msgpack-cxx), version 1. Pure: no I/O.
//
// A message is one array: [version, kind, from, from_start, from_address, seq, target, target_address,
// records, digest], the digest nil or (kDigestBuckets + 1) * 8 bytes, little-endian; and a record [name,
// address, zone, region, start, incarnation, state, by]. Strings are bounded as member_record.h says, the
// records of a datagram by kMostDatagramRecords and of a stream by MembershipMessage::kMaxRecords. A datagram
// is one message of at most kMostDatagram bytes; on a stream each message is preceded by its length, four
// bytes big-endian, at most kMostFrame.
//
// A message of the replicated state is [version, 32 + kind, channel, from, from_address, summary, mask,
// numbers, updates, after, cursor, too_old, last], its summary nil or kDigestBuckets * 8 bytes, numbers and
// after
// [[origin, number], ...], an update [origin, number, key, changed, marks], a mark [origin, set, cleared,
// stamp, value].
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "cluster/membership/membership_message.h"
#include "cluster/replicated_state/replica_message.h"

namespace silverrail::cluster::wire {

inline constexpr std::uint32_t kVersion = 1;
inline constexpr std::size_t kMostDatagram = 1400;  // below a loopback or Ethernet MTU with room for headers
inline constexpr std::size_t kMostDatagramRecords = 16;
inline constexpr std::size_t kMostFrame = 1 << 20;  // a whole view of 4,096 members fits

// Why bytes were not taken: each is counted by the transport.
enum class Trouble : std::uint8_t { undecodable, oversize, other_version, out_of_bounds };
const char* name_of(Trouble trouble);

// `stream`: the bounds of a push or pull, else those of a datagram.
std::string encode(const MembershipMessage& message);
std::string encode(const ReplicaMessage& message);
std::variant<MembershipMessage, ReplicaMessage, Trouble> decode(std::string_view bytes, bool stream);

// One entry as a store keeps it: [changed, marks]. Empty: undecodable or out of bounds.
std::string encode(const ReplicatedEntry& entry);
std::optional<ReplicatedEntry> decode_entry(std::string_view bytes);

// A frame's four bytes of length; the length is checked against kMostFrame by the reader.
std::string frame_header(std::size_t length);
std::uint32_t frame_length(const unsigned char header[4]);

}  // namespace silverrail::cluster::wire

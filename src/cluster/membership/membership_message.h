// The messages of the membership protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/membership/member_record.h"
#include "cluster/membership/membership_digest.h"

namespace silverrail::cluster {

struct MembershipMessage {
    enum class Kind : std::uint8_t {
        ping,      // probes `target`, who answers with an ack
        ack,       // the answer to a ping; from a helper: the member it probed has answered
        ping_req,  // asks a helper to probe `target` at `target_address`
        nack,      // from a helper: `target` did not answer (Lifeguard)
        push,      // with a digest: asks for what differs; without: the records that the receiver lacks
        pull,    // answers a push with a digest: the sender's digest, its records of the buckets that differ
        gossip,  // records alone, not waiting for a probe
    };
    static constexpr std::size_t kMaxRecords = 4096;  // in a push or pull; far fewer in a datagram

    Kind kind = Kind::ping;
    std::string sender;
    std::uint64_t sender_start = 0;
    std::string sender_address;  // where answers go
    std::uint32_t sequence = 0;  // an ack or nack repeats that of the message it answers
    std::string target;
    std::string target_address;
    std::vector<MemberRecord> records;       // piggybacked gossip; push and pull: what differs
    std::optional<MembershipDigest> digest;  // push and pull only
    bool operator==(const MembershipMessage&) const = default;
};
const char* name_of(MembershipMessage::Kind kind);

// A message to send to an address.
struct OutgoingMembershipMessage {
    std::string address;
    MembershipMessage message;
    // Over a stream (push and pull), or as a datagram.
    bool stream() const {
        return message.kind == MembershipMessage::Kind::push || message.kind == MembershipMessage::Kind::pull;
    }
};

}  // namespace silverrail::cluster

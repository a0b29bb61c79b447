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
        ping,      // probes `target`, which answers with an ack
        ack,       // answers a ping; from a helper: the probed member has answered
        ping_req,  // asks a helper to probe `target` at `target_address`
        nack,      // from a helper: `target` did not answer in time (Lifeguard)
        push,      // with a digest: asks for the records that differ; without: records the receiver lacks
        pull,      // answers a push with a digest: the sender's digest and its records of differing buckets
        gossip,    // records only, sent independently of probes
    };
    static constexpr std::size_t kMaxRecords = 4096;  // push, pull; datagrams: kMaxDatagramRecords

    Kind kind = Kind::ping;
    std::string sender;
    std::uint64_t sender_start = 0;
    std::string sender_address;  // the address that answers are sent to
    std::uint32_t sequence = 0;  // an ack or nack repeats the one of the message it answers
    std::string target;
    std::string target_address;
    std::vector<MemberRecord> records;       // piggybacked gossip; in push and pull: the records that differ
    std::optional<MembershipDigest> digest;  // in push and pull only
    bool operator==(const MembershipMessage&) const = default;
};
const char* name_of(MembershipMessage::Kind kind);

// A message and the address to send it to.
struct OutgoingMembershipMessage {
    std::string address;
    MembershipMessage message;
    // True if sent over a stream (push and pull), false if sent as a datagram.
    bool stream() const {
        return message.kind == MembershipMessage::Kind::push || message.kind == MembershipMessage::Kind::pull;
    }
};

}  // namespace silverrail::cluster

// The messages of the replicated state.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/hash.h"
#include "cluster/replicated_state/replicated_entry.h"

namespace silverrail::cluster {

// The change to which a writer gave a version, with the key's entry as the sender holds it now (at least as
// new).
struct ReplicaUpdate {
    std::string writer;
    std::uint64_t version = 0;
    std::string key;
    ReplicatedEntry entry;
    bool operator==(const ReplicaUpdate&) const = default;
};

// About as many bytes as the message codec takes for it.
std::size_t approximate_size(const ReplicaUpdate& update);

// What a replica holds of each writer: XOR of hashes of (writer, version), by bucket of writers.
using ReplicaDigest = std::array<std::uint64_t, kDigestBuckets>;

// By writer the highest version held: all below it are held or superseded.
using VersionVector = std::map<std::string, std::uint64_t>;

struct ReplicaMessage {
    enum class Kind : std::uint8_t {
        digest,    // answered with the receiver's versions where it differs
        versions,  // the sender's versions in the buckets of `bucket_mask`: answered with a delta_exchange
        delta_exchange,  // what the receiver lacks, and the sender's versions: answered with a delta
        delta,           // what the receiver lacks
        gossip,          // one change, just made: a datagram; applied, but its version does not count as held
        snapshot_request,  // asks for the page of the full state after the key `cursor`
        snapshot_page,
    };
    static constexpr std::size_t kMaxUpdates = 4096;
    static constexpr std::size_t kMaxVersions = 4096;

    Kind kind = Kind::digest;
    std::uint8_t channel = 0;  // tells a router's replicated states apart
    std::string sender;
    std::string sender_address;
    ReplicaDigest digest{};              // digest
    std::uint64_t bucket_mask = 0;       // a bit for each bucket that `versions` covers
    VersionVector versions;              // the sender's; snapshot_page: those that the snapshot stands for
    std::vector<ReplicaUpdate> updates;  // of each writer in the order of its versions
    // delta_exchange, delta: the versions that the receiver was taken to hold. snapshot_page: up to where the
    // sender collected updates.
    VersionVector base_versions;
    std::string cursor;            // snapshot_request, snapshot_page
    bool snapshot_needed = false;  // some of what the receiver lacks is collected here
    bool complete = true;          // false: the size limit ended it, there is more
    bool operator==(const ReplicaMessage&) const = default;
};

// A message to send to an address.
struct OutgoingReplicaMessage {
    std::string address;
    ReplicaMessage message;
    // Over a stream, or as a datagram.
    bool stream() const {
        return message.kind != ReplicaMessage::Kind::gossip;
    }
};

}  // namespace silverrail::cluster

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

// A change, identified by its writer and version, with the key's entry as the sender holds it now (at least
// as new as the change).
struct ReplicaUpdate {
    std::string writer;
    std::uint64_t version = 0;
    std::string key;
    ReplicatedEntry entry;
    bool operator==(const ReplicaUpdate&) const = default;
};

// The approximate number of bytes that the message codec needs for the update.
std::size_t approximate_size(const ReplicaUpdate& update);

// A digest of the versions that a replica holds: for each bucket of writers the XOR of the hashes of (writer,
// version).
using ReplicaDigest = std::array<std::uint64_t, kDigestBuckets>;

// The highest version held, by writer: all lower versions are held or superseded.
using VersionVector = std::map<std::string, std::uint64_t>;

struct ReplicaMessage {
    enum class Kind : std::uint8_t {
        digest,    // answered with the receiver's versions in the buckets that differ
        versions,  // the sender's versions in the buckets of `bucket_mask`: answered with a delta_exchange
        delta_exchange,    // what the receiver lacks, and the sender's versions: answered with a delta
        delta,             // what the receiver lacks
        gossip,            // one new change, as a datagram: applied, but its version does not count as held
        snapshot_request,  // asks for the page of the full state that begins after the key `cursor`
        snapshot_page,
    };
    static constexpr std::size_t kMaxUpdates = 4096;
    static constexpr std::size_t kMaxVersions = 4096;

    Kind kind = Kind::digest;
    std::uint8_t channel = 0;  // distinguishes a router's replicated states
    std::string sender;
    std::string sender_address;
    ReplicaDigest digest{};              // digest
    std::uint64_t bucket_mask = 0;       // a bit for each bucket that `versions` covers
    VersionVector versions;              // the sender's; snapshot_page: those that the snapshot covers
    std::vector<ReplicaUpdate> updates;  // of each writer, ordered by version
    // delta_exchange, delta: the versions that the sender assumes the receiver to hold. snapshot_page: the
    // highest versions that the sender has garbage-collected.
    VersionVector base_versions;
    std::string cursor;            // snapshot_request, snapshot_page
    bool snapshot_needed = false;  // the sender has collected updates that the receiver lacks
    bool complete = true;          // false: cut off at the size limit, there is more
    bool operator==(const ReplicaMessage&) const = default;
};

// A message to send to an address.
struct OutgoingReplicaMessage {
    std::string address;
    ReplicaMessage message;
    // True: sent over a stream; false: as a datagram.
    bool stream() const {
        return message.kind != ReplicaMessage::Kind::gossip;
    }
};

}  // namespace silverrail::cluster

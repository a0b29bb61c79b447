// A digest of a membership view, by which two members find the records that differ between their views.
#pragma once

#include <array>
#include <cstdint>

#include "cluster/hash.h"
#include "cluster/membership/member_record.h"

namespace silverrail::cluster {

// Covers members that are alive or suspect. Dead and left members are excluded because each member removes
// their records at a different time. Equal views have equal digests, regardless of the order of updates.
struct MembershipDigest {
    std::uint64_t members = 0;  // XOR of hashes of (name, start); differs only if the sets of members differ
    // By name: XOR of hashes of (name, start, incarnation).
    std::array<std::uint64_t, kDigestBuckets> buckets{};

    // Adds a record to the digest, or removes one added before: with XOR both are the same operation.
    void toggle(const MemberRecord& record);
    bool operator==(const MembershipDigest&) const = default;
};

// True if the views have different members, or if more than half of the buckets differ. Gossip
// spreads that many new incarnations too slowly (as after a partition, when every member refutes).
bool diverged(const MembershipDigest& a, const MembershipDigest& b);

}  // namespace silverrail::cluster

// A short summary of a membership view, by which two members find out what differs between theirs.
#pragma once

#include <array>
#include <cstdint>

#include "cluster/hash.h"
#include "cluster/membership/member_record.h"

namespace silverrail::cluster {

// Covers the members that are alive or suspect. The dead and the left are not in it, as each member removes
// those in its own time. Equal views have equal digests, whatever order they were learned in.
struct MembershipDigest {
    std::uint64_t members = 0;  // XOR of hashes of (name, start): differs only while members come or go
    std::array<std::uint64_t, kDigestBuckets> buckets{};  // by name: XOR of (name, start, incarnation)

    // Adds a record, or takes one out that was added: the two are the same operation.
    void toggle(const MemberRecord& record);
    bool operator==(const MembershipDigest&) const = default;
};

// True if the views hold different members, or more of them at different incarnations than datagrams would
// bring in line soon (as after a partition, when everybody refutes).
bool diverged(const MembershipDigest& a, const MembershipDigest& b);

}  // namespace silverrail::cluster

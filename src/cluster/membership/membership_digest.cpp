#include "cluster/membership/membership_digest.h"

namespace silverrail::cluster {

void MembershipDigest::toggle(const MemberRecord& record) {
    if (record.state != MemberState::alive && record.state != MemberState::suspect)
        return;
    const auto run = fnv1a(fnv1a(kFnvOffsetBasis, record.identity.name), record.start);
    members ^= run;
    buckets[digest_bucket(record.identity.name)] ^= fnv1a(run, record.incarnation);
}

bool diverged(const MembershipDigest& a, const MembershipDigest& b) {
    std::size_t differing = 0;
    for (std::size_t i = 0; i < kDigestBuckets; ++i)
        differing += a.buckets[i] != b.buckets[i] ? 1 : 0;
    return a.members != b.members || differing > kDigestBuckets / 2;
}

}  // namespace silverrail::cluster

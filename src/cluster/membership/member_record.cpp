#include "cluster/membership/member_record.h"

namespace silverrail::cluster {

const char* name_of(MemberState state) {
    switch (state) {
        case MemberState::alive:
            return "alive";
        case MemberState::suspect:
            return "suspect";
        case MemberState::dead:
            return "dead";
        case MemberState::left:
            return "left";
    }
    return "?";
}

bool supersedes(const MemberRecord& record, const MemberRecord& other) {
    if (record.start != other.start)
        return record.start > other.start;
    return record.incarnation > other.incarnation;
}

bool within_bounds(const MemberRecord& record) {
    const auto& identity = record.identity;
    return !identity.name.empty() && identity.name.size() <= kMaxNameLength &&
           identity.address.size() <= kMaxAddressLength && identity.zone.size() <= kMaxZoneLength &&
           identity.region.size() <= kMaxZoneLength && record.reported_by.size() <= kMaxNameLength;
}

}  // namespace silverrail::cluster

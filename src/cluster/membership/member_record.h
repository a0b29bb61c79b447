// The state of one member of the fleet, as routers exchange it.
#pragma once

#include <cstdint>
#include <string>

namespace silverrail::cluster {

enum class MemberState : std::uint8_t { alive, suspect, dead, left };
inline constexpr std::size_t kMemberStates = 4;
const char* name_of(MemberState state);

// Maximum lengths of a record's strings, in bytes. A message with a longer string is rejected.
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxAddressLength = 64;
inline constexpr std::size_t kMaxZoneLength = 32;  // for the zone and for the region

struct MemberIdentity {
    std::string name;     // unique in the fleet
    std::string address;  // "host:port" of the peer port; not parsed by the protocol
    std::string zone;
    std::string region;
    bool operator==(const MemberIdentity&) const = default;
};

// One member's state as carried by gossip and push-pull.
struct MemberRecord {
    MemberIdentity identity;
    std::uint64_t start = 0;        // process start, Unix ms; distinguishes restarts under one name
    std::uint64_t incarnation = 0;  // raised only by the member itself, to refute a suspicion
    MemberState state = MemberState::alive;
    std::string reported_by;  // the member that suspected it or declared it dead; empty for alive and left
    bool operator==(const MemberRecord&) const = default;
};

// True if `record` has a later start than `other`, or the same start and a higher incarnation.
bool supersedes(const MemberRecord& record, const MemberRecord& other);

// True if the strings are within the maximum lengths above and the name is not empty.
bool within_bounds(const MemberRecord& record);

}  // namespace silverrail::cluster

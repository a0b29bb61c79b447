// What the routers tell each other of one member of the fleet.
#pragma once

#include <cstdint>
#include <string>

namespace silverrail::cluster {

enum class MemberState : std::uint8_t { alive, suspect, dead, left };
inline constexpr std::size_t kMemberStates = 4;
const char* name_of(MemberState state);

// Longest strings of a record, in bytes; a message with a longer one is rejected.
inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxAddressLength = 64;
inline constexpr std::size_t kMaxZoneLength = 32;  // of a zone and of a region

struct MemberIdentity {
    std::string name;     // unique in the fleet
    std::string address;  // of its peer port, "host:port"; opaque here
    std::string zone;
    std::string region;
    bool operator==(const MemberIdentity&) const = default;
};

// One member's state as gossip and push-pull carry it.
struct MemberRecord {
    MemberIdentity identity;
    std::uint64_t start = 0;        // when the process started, Unix ms: tells its runs apart
    std::uint64_t incarnation = 0;  // raised by the member alone, to refute a suspicion
    MemberState state = MemberState::alive;
    std::string reported_by;  // who suspected it or declared it dead; empty for alive and left
    bool operator==(const MemberRecord&) const = default;
};

// True if `record` is of a later run than `other`, or of a later incarnation in the same run.
bool supersedes(const MemberRecord& record, const MemberRecord& other);

// True if the strings keep to the bounds above and the name is not empty.
bool within_bounds(const MemberRecord& record);

}  // namespace silverrail::cluster

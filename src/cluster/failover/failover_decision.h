// A decision on where a zone's requests go, and an operator's override of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/replicated_state/replicated_entry.h"

namespace silverrail::cluster {

struct FailoverDecision {
    std::uint64_t epoch = 0;             // 0: never decided, all requests stay in the zone
    std::map<std::string, int> targets;  // per cent of the zone's requests, by the zone that they go to
    HybridTimestamp timestamp = 0;
    std::string writer;  // of the decision

    int percent_leaving() const;
};

// The decision that is in effect for a zone. After a partition there may be several: the one of the highest
// epoch counts, and of that epoch the earliest, so that one written late with the same epoch changes nothing.
// `entry` may be null.
FailoverDecision effective_decision(const ReplicatedEntry* entry);

// Set by an operator for a zone.
enum class FailoverOverride : std::uint8_t {
    none,
    in,   // its requests stay, whatever its health is
    out,  // its requests leave, and it takes no spillover
};

}  // namespace silverrail::cluster

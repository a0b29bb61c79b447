// A decision on where a zone's requests go, and an operator's override of it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cluster/replicated_state/replicated_entry.h"

namespace silverrail::cluster {

struct FailoverDecision {
    std::uint64_t epoch = 0;             // 0: never decided, all stay in the zone
    std::map<std::string, int> targets;  // per cent of the requests that leave, by target zone
    HybridTimestamp timestamp = 0;
    std::string writer;  // who wrote it

    int percent_leaving() const;
};

// The decision of a zone that is in effect. Of those that may stand side by side after a partition: the
// highest epoch, of that the earliest, so that one written late with the same epoch changes nothing. `entry`
// may be null.
FailoverDecision effective_decision(const ReplicatedEntry* entry);

// Set by an operator for a zone.
enum class FailoverOverride : std::uint8_t {
    none,
    in,   // its requests stay, whatever its health is
    out,  // its requests leave, and it takes no spillover
};

}  // namespace silverrail::cluster

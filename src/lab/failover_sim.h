// Failover at any size: the state machines of src/cluster/failover, each with its reports' and its shared
// replica, on a simulated network in simulated time (`silverrail lab failover`, the table in
// docs/design/failover.md). Who is alive is given, not found out: the view has its own simulator.
#pragma once

#include <cstdint>

#include "cluster/failover/failover.h"

namespace silverrail::lab {

struct FailoverSimOptions {
    std::size_t members = 30;
    std::uint64_t seed = 1;
    double loss = 0.01;         // of datagrams
    std::int64_t calm_s = 120;  // noise on all, then as long with one zone at the threshold
    bool decider_lost = true;   // the one whose turn it is falls out when the zone does
};

// Times in simulated ms; -1: not within a minute.
struct FailoverFigures {
    std::size_t zones = 0, regions = 0;
    double rest_bytes_per_s = 0;  // a member, calm
    double kept_near =
        0;  // share of the requests that stay in their zone, calm, servers failing now and then
    std::uint64_t calm_changes = 0;
    std::int64_t region_ms = -1;                // a zone lost: until every router of its region acts on it
    std::int64_t fleet_ms = -1;                 // and every router
    std::uint64_t epochs = 0, written = 0;      // of that loss: numbers, and how often one was written
    std::int64_t without_ms = -1;               // a further zone lost with the router whose turn it is
    std::int64_t back_ms = -1;                  // health back, until all is near again
    double changes_per_h = 0, flaps_per_h = 0;  // of one zone at the threshold
};
FailoverFigures measure_failover(const FailoverSimOptions& options);

}  // namespace silverrail::lab

// Failover at any size: the state machines of src/cluster/failover, each with its replicas of the state and
// of the reports, on a simulated network in simulated time (`silverrail lab failover`, the table in
// docs/design/failover.md). Who is alive is given: membership has its own simulation.
#pragma once

#include <cstdint>

#include "cluster/failover/failover.h"

namespace silverrail::lab {

struct FailoverSimulationOptions {
    std::size_t members = 30;
    std::uint64_t seed = 1;
    double loss = 0.01;         // of datagrams
    std::int64_t calm_s = 120;  // noise on all zones, then as long with one at the threshold
    bool writer_lost = true;    // the router whose turn it is falls out when its zone does
};

// Times in simulated ms; -1: not within a minute.
struct FailoverFigures {
    std::size_t zones = 0;
    std::size_t regions = 0;
    double rest_bytes_per_s = 0;  // a member, while calm
    double kept_near = 0;         // share of the requests that stay in their zone, while calm
    std::uint64_t calm_changes = 0;
    std::int64_t region_ms = -1;          // a zone lost: until every router of its region acts on it
    std::int64_t fleet_ms = -1;           // and every router
    std::uint64_t epochs = 0;             // of that loss
    std::uint64_t written = 0;            // and how often a decision was written
    std::int64_t without_writer_ms = -1;  // a further zone lost with the router whose turn it is
    std::int64_t back_ms = -1;            // health back, until all requests are near again
    double changes_per_h = 0;             // of one zone at the threshold
    double flaps_per_h = 0;
};
FailoverFigures measure_failover(const FailoverSimulationOptions& options);

}  // namespace silverrail::lab

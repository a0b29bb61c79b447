// The fleet's view at any size: the state machines of src/cluster/membership on a simulated network in
// simulated time, through joins, calm, a crash, a stall, loss, a partition and its healing, and a restart.
// The experiment tool behind the tables in docs/design/fleet-view.md (`silverrail lab fleet`).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/membership/membership.h"

namespace silverrail::lab {

enum class Fault : std::uint8_t { join, calm, crash, stall, loss, partition, restart };
const char* name_of(Fault fault);
// All, in the order in which a run plays them.
const std::vector<Fault>& all_faults();

struct FleetSimOptions {
    std::size_t members = 30;
    std::uint64_t seed = 1;
    std::vector<Fault> faults = all_faults();  // join is always played, first
    cluster::MembershipSettings settings{};
    std::size_t streams = 8;      // a member takes in so many pushes a probe interval, as the transport does
    double loss = 0.05;           // in the scenario `loss`
    cluster::Time most{600'000};  // a scenario that has not settled by then is told as such
};

// One scenario's figures. Times in simulated ms from the fault (partition: from the healing); -1: not
// settled.
struct FleetSimRow {
    Fault fault = Fault::join;
    std::size_t members = 0;
    std::uint64_t seed = 0;
    std::int64_t suspected_ms = -1;      // crash, stall: the first suspicion of the member at fault
    std::int64_t settled_ms = -1;        // every live view agrees with what is
    std::uint64_t false_suspicions = 0;  // members that run, suspected for the first time by anyone
    std::uint64_t false_deaths = 0;      // declarations of a running member's death, over all views
    double messages_per_s = 0;           // sent, a member a second, over the scenario
    double bytes_per_s = 0;              // as cluster/wire encodes them
};

// Plays the scenarios in order; `done` is called after each.
std::vector<FleetSimRow> simulate_fleet(const FleetSimOptions& options,
                                        const std::function<void(const FleetSimRow&)>& done = {});

}  // namespace silverrail::lab

// Membership at any size: the state machines of src/cluster/membership on a simulated network in simulated
// time, through joins, rest, a crash, a stall, loss, a partition and its healing, and a restart. Behind
// `silverrail lab fleet` and the tables in docs/design/fleet-view.md.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cluster/membership/membership.h"

namespace silverrail::lab {

enum class MembershipScenario : std::uint8_t { join, calm, crash, stall, loss, partition, restart };
const char* name_of(MembershipScenario scenario);
// All, in the order in which a run plays them.
const std::vector<MembershipScenario>& all_membership_scenarios();

struct MembershipSimulationOptions {
    std::size_t members = 30;
    std::uint64_t seed = 1;
    std::vector<MembershipScenario> scenarios = all_membership_scenarios();  // join is always played, first
    cluster::MembershipSettings settings{};
    std::size_t max_streams = 8;        // pushes that a member takes in a tenth of a probe interval
    double loss = 0.05;                 // in the scenario `loss`
    cluster::Time max_settle{600'000};  // a scenario that has not settled by then never does
};

// The figures of one scenario. Times in simulated ms from the fault (partition: from the healing); -1: not
// settled.
struct MembershipSimulationRow {
    MembershipScenario scenario = MembershipScenario::join;
    std::size_t members = 0;
    std::uint64_t seed = 0;
    std::int64_t suspected_ms = -1;      // crash, stall: the first suspicion of the member at fault
    std::int64_t settled_ms = -1;        // every live view agrees with what is
    std::uint64_t false_suspicions = 0;  // members that run, suspected for the first time by anyone
    std::uint64_t false_deaths = 0;      // declarations of a running member's death, over all views
    double messages_per_s = 0;           // sent, a member a second, over the scenario
    double bytes_per_s = 0;              // as cluster/codec encodes them
};

// Plays the scenarios in order; `on_row` is called after each.
std::vector<MembershipSimulationRow> simulate_membership(
    const MembershipSimulationOptions& options,
    const std::function<void(const MembershipSimulationRow&)>& on_row = {});

}  // namespace silverrail::lab

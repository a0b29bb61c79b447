// Computes what share of a zone's requests leaves it, and to which zones.
//
// The computation follows Envoy's priority levels and localities (its documentation, "Priority levels" and
// "Panic threshold"): a level serves its healthy share times an overprovisioning factor, the rest spills over
// to the next; a level below the panic threshold is no target. docs/design/failover.md has the differences.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/failover/failover_settings.h"
#include "cluster/failover/zone_status.h"

namespace silverrail::cluster {

class FailoverPlanner {
public:
    // The arguments must outlive the planner.
    FailoverPlanner(const FailoverSettings& settings, const ZoneStatuses& zones, const ZoneWeights& weights)
        : settings_(settings), zones_(zones), weights_(weights) {}

    // The next decision of the zone, at most one step from the current one; equal to it if nothing is to
    // change.
    FailoverDecision propose(const std::string& zone) const;

private:
    bool targets_have_capacity(const std::string& zone, const FailoverDecision& decision) const;
    int wanted_percent(const ZoneStatus& status) const;
    int next_percent(const ZoneStatus& status) const;
    std::map<std::string, int> distribute(const std::string& zone, int percent) const;
    std::vector<std::string> regions_by_preference(const std::string& zone) const;
    std::vector<std::pair<int, std::string>> targets_in(const std::string& region, const std::string& zone,
                                                        std::size_t max_targets) const;
    int spare_capacity(const std::string& zone, const std::string& target) const;

    const FailoverSettings& settings_;
    const ZoneStatuses& zones_;
    const ZoneWeights& weights_;
};

// The region of a configured zone; empty: there is no such zone.
const std::string& region_of(const FailoverSettings& settings, const std::string& zone);

}  // namespace silverrail::cluster

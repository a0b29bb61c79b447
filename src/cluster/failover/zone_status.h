// What a router knows about a zone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cluster/failover/failover_decision.h"
#include "cluster/time.h"

namespace silverrail::cluster {

struct ZoneStatus {
    FailoverDecision decision;
    FailoverOverride override_by_operator = FailoverOverride::none;
    std::optional<int> health;     // the median of its reports, per cent; none: too few reports
    int warm_health = 100;         // the median of what its healthy servers bear now, per cent
    double smoothed_health = 100;  // `health` smoothed over some seconds; large changes apply at once
    std::size_t alive_routers = 0;
    std::uint64_t changes = 0;
    std::uint64_t flaps = 0;
    // How many hold-downs the next step back waits: doubled each time the zone failed again soon after a step
    // back.
    int hold_down_factor = 1;
    Time decided_at{};  // when this router saw its decision
};

using ZoneStatuses = std::map<std::string, ZoneStatus>;  // by zone
using ZoneWeights = std::map<std::string, double>;       // of the listed servers, by zone

// The weight of `zone` divided by that of `other`; 1 if either is not listed.
double weight_ratio(const ZoneWeights& weights, const std::string& zone, const std::string& other);

}  // namespace silverrail::cluster

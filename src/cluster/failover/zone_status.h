// What a router knows of a zone.
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
    std::optional<int> health;     // the median of its reporters, per cent; none: too few of them
    int warm_health = 100;         // the same of what the healthy servers bear now
    double smoothed_health = 100;  // the median over some seconds, but at once where it leaps
    std::size_t alive_routers = 0;
    std::uint64_t changes = 0;
    std::uint64_t flaps = 0;
    // Hold-downs that the next step back waits: doubled each time the zone failed again soon after one.
    int hold_down_factor = 1;
    Time decided_at{};  // when its decision was seen here
};

using ZoneStatuses = std::map<std::string, ZoneStatus>;  // by zone
using ZoneWeights = std::map<std::string, double>;       // of the listed servers, by zone

// The weight of `zone` in units of that of `other`; 1 where either is not listed.
double weight_ratio(const ZoneWeights& weights, const std::string& zone, const std::string& other);

}  // namespace silverrail::cluster

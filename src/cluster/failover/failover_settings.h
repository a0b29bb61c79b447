// Settings of failover between zones.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cluster/time.h"

namespace silverrail::cluster {

struct FailoverZone {
    std::string name;
    std::string region;
    std::size_t routers = 0;  // configured, alive or not: a quorum is a majority of these
    bool operator==(const FailoverZone&) const = default;
};

struct FailoverSettings {
    std::vector<FailoverZone> zones;  // regions are preferred in the order of their first zone here
    double overprovisioning = 1.4;
    double panic_threshold = 0.5;  // a zone with a smaller healthy share takes no spillover
    // The largest share of requests that leave in one change; without healthy servers all leave at once.
    double step_out = 0.5;
    double step_back = 0.25;
    double min_change = 0.1;
    Time hold_down{5000};    // between two changes of one zone
    Time confirmation{300};  // how long a proposal must hold before it is written
    Time turn{300};          // between the start of one router's turn to write and that of the next one
    std::size_t max_reporters = 9;  // routers of a zone whose health reports count
    bool operator==(const FailoverSettings&) const = default;
    static constexpr std::size_t kMaxZones = 64;
    static constexpr std::size_t kMaxTargets = 3;
};

}  // namespace silverrail::cluster

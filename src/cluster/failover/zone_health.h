// The health of a zone as one router sees it.
#pragma once

#include <optional>
#include <vector>

#include "cluster/time.h"

namespace silverrail::cluster {

// A server of the router's own zone.
struct ZoneServer {
    double weight = 1;
    bool outlier = false;  // avoided by this router's own outlier detection
    bool banned = false;   // by an operator
    // Whether the last probe connected; none: no probe was due.
    std::optional<bool> probe_connected;
    double warm_share = 1;  // of its full load that it bears now, while it warms up
};

// In per cent of the total weight of the zone's servers, rounded down to a multiple of five; 100 without
// servers.
struct ZoneHealth {
    int healthy = 100;
    int warm = 100;  // of the total, what the healthy servers bear now
    bool operator==(const ZoneHealth&) const = default;
};

// `drained`: the zone gets no requests at present, so its health is known from probes only.
ZoneHealth measure_zone_health(const std::vector<ZoneServer>& servers, bool drained);

// Suppresses small changes that do not last, as each report is sent to every router.
class HealthReportFilter {
public:
    // The health to report now.
    ZoneHealth update(ZoneHealth health, Time now);

private:
    std::optional<ZoneHealth> reported_;
    std::optional<Time> differs_since_;
};

}  // namespace silverrail::cluster

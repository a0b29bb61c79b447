// Chooses the server for an attempt and the source of its fill.
#pragma once

#include "routing/capacity_estimate.h"
#include "routing/fills_in_flight.h"
#include "routing/open_request.h"
#include "routing/outlier_detection.h"
#include "routing/server_table.h"
#include "routing/slow_start.h"

namespace silverrail::routing {

class TargetSelector {
public:
    // All must outlive the selector.
    TargetSelector(const Settings& settings, const ServerTable& servers, const OutlierDetector& outliers,
                   const SlowStart& slow_start, const CapacityEstimator& capacity, const FillsInFlight& fills)
        : settings_(settings),
          servers_(servers),
          outliers_(outliers),
          slow_start_(slow_start),
          capacity_(capacity),
          fills_(fills) {}

    // The edge cache: the object's first in rendezvous order that admits the request and is not crowded; else
    // the first crowded one; else one that was tried before. Null: none. `work`: expected, in seconds.
    ServerState* select_cache(const OpenRequest& open, double work, Time now) const;

    // The source of a fill: the object's first parent that admits it, or the origin within its limits. A
    // parent that carries this router's share of its link is passed over, and so is one that is not the
    // object's first where it is slow and the origin is quicker. Null: none.
    ServerState* select_source(const OpenRequest& open, double work, Time now) const;

    ServerState* select_origin() const;

private:
    struct Parents {
        ServerState* preferred = nullptr;
        ServerState* slow = nullptr;  // the first that admits the request but is slower than the origin
    };
    Parents select_parents(const OpenRequest& open, double work, double origin_latency, Time now) const;
    bool is_admitted(ServerState& server, const OpenRequest& open, double work, Time now) const;
    const ClassSettings& class_of(const OpenRequest& open) const {
        return settings_.classes[open.request.class_index];
    }

    const Settings& settings_;
    const ServerTable& servers_;
    const OutlierDetector& outliers_;
    const SlowStart& slow_start_;
    const CapacityEstimator& capacity_;
    const FillsInFlight& fills_;
};

}  // namespace silverrail::routing

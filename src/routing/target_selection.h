// Selects the target of an attempt and the source of its fill.
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

    // Returns the first edge cache in the object's rendezvous order that admits the request and is not
    // busy; else the first busy one; else one that was tried before; else null. `work` is expected, in
    // seconds.
    ServerState* select_cache(const OpenRequest& open, double work, Time now) const;

    // Returns the source of a fill: the first parent in the object's order that admits it and is not slow;
    // else the origin; if the origin is at its limit, the first slow parent. Null: none. A parent is
    // skipped if this router's share of its link is in use. Only a parent after the object's first counts
    // as slow, if its latency exceeds both the origin's and a fixed bound.
    ServerState* select_source(const OpenRequest& open, double work, Time now) const;

    ServerState* select_origin() const;

private:
    struct Parents {
        ServerState* preferred = nullptr;
        ServerState* slow = nullptr;  // the first that admits the request but is too slow
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

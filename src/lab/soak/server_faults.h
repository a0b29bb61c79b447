// Faults of the soak's servers: misbehaviour, processes that end, drains and restarts.
#pragma once

#include <set>

#include "lab/soak/discovery.h"
#include "lab/soak/plan.h"

namespace silverrail::lab::soak {

// Each fault lasts until its task ends. Runs on the thread of `io`; the referred objects must outlive it.
class ServerFaults {
public:
    ServerFaults(Oracle& oracle, Servers& servers, Discovery& discovery)
        : oracle_(oracle), servers_(servers), discovery_(discovery) {}

    // One of the kinds from server_hang to server_close_idle except server_refuse.
    Task<> misbehave(PlannedFault fault);
    // These do nothing if too many servers are away already.
    Task<> refuse(PlannedFault fault);
    Task<> drain(PlannedFault fault);
    Task<> restart(PlannedFault fault);

private:
    bool reserve(std::size_t server);
    void bring_up_cold(std::size_t server);

    Oracle& oracle_;
    Servers& servers_;
    Discovery& discovery_;
    std::set<std::size_t> away_;
};

}  // namespace silverrail::lab::soak

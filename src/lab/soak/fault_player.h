// Plays the faults of a schedule, each in a task of its own.
#pragma once

#include "lab/soak/clients.h"
#include "lab/soak/plan.h"
#include "lab/soak/router_lifecycle.h"
#include "lab/soak/server_faults.h"

namespace silverrail::lab::soak {

// Runs on the thread of the referred objects, which must outlive it and its tasks.
class FaultPlayer {
public:
    FaultPlayer(RouterLifecycle& lifecycle, RouterProcesses& processes, ServerFaults& server_faults,
                Discovery& discovery, Clients& clients)
        : lifecycle_(lifecycle),
          processes_(processes),
          server_faults_(server_faults),
          discovery_(discovery),
          clients_(clients) {}

    // From the fault's beginning to its end. A fault that can't be played now is passed over.
    Task<> play(PlannedFault fault);

private:
    Task<> play_router_fault(const PlannedFault& fault);
    Task<> play_server_fault(const PlannedFault& fault);
    Task<> play_discovery_fault(PlannedFault fault);
    Task<> move_discovery(PlannedFault fault);
    Task<> fail_calls(PlannedFault fault);
    Task<> step_clock(PlannedFault fault);
    Task<> purge(PlannedFault fault);
    Task<> change_client_habit(PlannedFault fault);
    void set_discovery_fault(const PlannedFault& fault, std::size_t router, bool on);

    RouterLifecycle& lifecycle_;
    RouterProcesses& processes_;
    ServerFaults& server_faults_;
    Discovery& discovery_;
    Clients& clients_;
};

}  // namespace silverrail::lab::soak

// What a simulated service discovery reports: purges, and servers that drain or fail, leave and come back.
#pragma once

#include <cstdint>
#include <vector>

#include "core/purges.h"
#include "core/server_registry.h"
#include "lab/synthetic_trace/event_scheduler.h"
#include "lab/synthetic_trace/plan.h"
#include "lab/synthetic_trace/seeded_random.h"
#include "lab/synthetic_trace/server_model.h"

namespace silverrail::lab {

// Receives an event at the time when discovery has it.
class DiscoveryListener {
public:
    virtual ~DiscoveryListener() = default;
    virtual void on_purge(const core::PurgeNotice& purge) = 0;
    virtual void on_server_change(const core::ServerChange& change) = 0;
};

// All arguments must outlive it, and it the scheduler's last step.
class DiscoveryModel {
public:
    DiscoveryModel(EventScheduler& scheduler, SimulatedServers& servers, SeededRandom& random,
                   const SyntheticTracePlan& plan)
        : scheduler_(scheduler), servers_(servers), random_(random), plan_(plan) {}
    // Schedules the first purge and the first server that leaves.
    void start();
    // Events go to it from here on, after the listeners before it. It must outlive the model.
    void add_listener(DiscoveryListener& listener) {
        listeners_.push_back(&listener);
    }

private:
    void publish_purge();
    core::PurgeNotice draw_purge();
    // One server after the other leaves and comes back.
    void begin_outage(std::size_t server_index);
    void publish(std::size_t server_index, routing::Condition condition);
    std::int64_t unix_ms() const;

    EventScheduler& scheduler_;
    SimulatedServers& servers_;
    SeededRandom& random_;
    const SyntheticTracePlan& plan_;
    std::vector<DiscoveryListener*> listeners_;
};

}  // namespace silverrail::lab

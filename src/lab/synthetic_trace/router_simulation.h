// One process of a simulated router, from its start to its end: the real core and decision module in
// simulated time, and the trace of what they do.
#pragma once

#include <string>

#include "core/engine.h"
#include "lab/synthetic_trace/discovery_model.h"
#include "lab/synthetic_trace/plan.h"
#include "lab/synthetic_trace/request_model.h"
#include "lab/synthetic_trace/server_model.h"
#include "log/log.h"
#include "trace/format/trace_writer.h"
#include "trace/recorder/trace_observer.h"

namespace silverrail::lab {

class RouterSimulation : public DiscoveryListener, private trace::RecordSink {
public:
    // What the simulations of all routers share; it must outlive them, and they the scheduler's last step.
    struct Environment {
        EventScheduler& scheduler;
        SimulatedServers& servers;
        const SyntheticTracePlan& plan;
        Log& log;
    };
    struct Identity {
        std::string router_name;
        std::uint64_t seed = 0;
    };

    // Starts at once, with the servers as they are. `sink` receives the trace and must outlive the
    // simulation.
    RouterSimulation(const Environment& environment, const Identity& identity, const SimulatedClock& clock,
                     trace::ByteSink& sink);
    RouterSimulation(const RouterSimulation&) = delete;
    RouterSimulation& operator=(const RouterSimulation&) = delete;

    // As by SIGKILL: no more requests come and nothing more is recorded.
    void kill();
    // Ends the trace in good order. Throws what the sink throws.
    void close();
    void on_purge(const core::PurgeNotice& purge) override;
    void on_server_change(const core::ServerChange& change) override;

    std::int64_t incarnation_unix_ns() const {
        return incarnation_unix_ns_;
    }
    std::uint64_t requests() const {
        return requests_;
    }

private:
    void add(const trace::model::Record& record) override;
    void record_start(const Identity& identity);
    void apply_server_list();
    std::int64_t clock_offset_ns() const;
    void schedule_clock_sample();
    void schedule_request();
    void submit_request();

    EventScheduler& scheduler_;
    SimulatedServers& servers_;
    const double requests_per_s_;
    SimulatedClock clock_;
    SimulatedTimers timers_;
    SimulatedAttemptSender sender_;
    const Json::Value config_;
    trace::TraceWriter writer_;
    trace::TraceObserver observer_;
    core::Engine engine_;
    SeededRandom random_;
    RequestModel request_model_;
    const std::int64_t incarnation_unix_ns_;
    std::uint64_t requests_ = 0;
    bool killed_ = false;
};

}  // namespace silverrail::lab

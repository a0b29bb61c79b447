// Simulated servers: which exist, which are down, and how an attempt at one of them ends.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ports.h"
#include "lab/sample_deployment.h"
#include "lab/synthetic_trace/seeded_random.h"
#include "lab/synthetic_trace/simulated_clock.h"

namespace silverrail::lab {

struct SimulatedServer {
    SampleServer listing;  // as discovery lists it
    bool down = false;     // refuses connections
    int in_flight = 0;     // attempts of all routers
};

// The servers that all routers share.
class SimulatedServers {
public:
    static constexpr std::size_t kCaches = 11;  // the first ones of `all`; two parents and the origin follow

    SimulatedServers();
    std::vector<SimulatedServer>& all() {
        return servers_;
    }
    // Throws std::out_of_range for an id that no server has.
    SimulatedServer& find(const std::string& id);

private:
    std::vector<SimulatedServer> servers_;
};

// One router's attempts. All arguments must outlive it, and it the scheduler's last step.
class SimulatedAttemptSender : public core::AttemptSender {
public:
    SimulatedAttemptSender(EventScheduler& scheduler, const SimulatedClock& clock, SimulatedServers& servers,
                           std::uint64_t seed)
        : scheduler_(scheduler), clock_(clock), servers_(servers), random_(seed) {}
    void start(core::AttemptRequest request, core::AttemptEvents& events) override;
    void cancel(const core::AttemptKey& key) override;
    void discard_connections(const core::ServerId& server) override;

private:
    struct Response {
        core::AttemptResult result;
        EventScheduler::Duration delay;  // from the attempt's first byte to the response's last
    };

    void connect(const core::AttemptRequest& request, core::AttemptEvents& events, SimulatedServer& server);
    // Runs `action` unless the attempt has been cancelled until then.
    void schedule(const core::AttemptKey& key, SimulatedServer& server, EventScheduler::Duration delay,
                  EventScheduler::Action action);
    void end(const core::AttemptKey& key, core::AttemptEvents& events, SimulatedServer& server,
             core::AttemptResult result);
    // Absent: the server never responds.
    std::optional<Response> respond(const core::AttemptRequest& request, const SimulatedServer& server);
    routing::LoadReport load_report(const SimulatedServer& server);
    void serve(const core::AttemptRequest& request, const SimulatedServer& server, Response& response);
    void add_content(double size_kb, core::AttemptResult& result);
    bool is_cached(const SimulatedServer& server, const core::ClientRequest& request);

    EventScheduler& scheduler_;
    const SimulatedClock& clock_;
    SimulatedServers& servers_;
    SeededRandom random_;
    std::set<core::AttemptKey> in_flight_;
    std::set<std::uint64_t> cached_;  // by server, object and part
};

}  // namespace silverrail::lab

// Shared outlier detection in the running program: the state machine of src/cluster/outliers between the core
// and the replicated reports. Made only where the settings have a `peers` section.
#pragma once

#include <string>
#include <vector>

#include "app/part.h"
#include "app/replica_part.h"
#include "cluster/outliers/outlier_consensus.h"
#include "core/engine.h"

namespace silverrail::app {

class OutlierConsensusPart : public Part {
public:
    // All must outlive the part.
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        MembershipPart& membership;
        ReplicaPart& reports;
        const core::Clock& clock;
        Log& log;
    };
    OutlierConsensusPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                         std::uint64_t seed);
    void start() override {
        tick();
    }
    void stop() override {
        timer_.cancel();
    }
    std::string counters() override;

private:
    void tick();
    void eject(const std::set<std::string>& ids);
    std::vector<cluster::ServerObservation> observe_servers() const;

    Dependencies with_;
    std::string router_name_;
    cluster::OutlierConsensus consensus_;
    net::asio::steady_timer timer_;
};

}  // namespace silverrail::app

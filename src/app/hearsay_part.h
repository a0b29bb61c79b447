// What routers learned of servers in the running program: the state machine of src/cluster/hearsay between
// the core and the reports' replica. Made only where the settings have a `peers` section.
#pragma once

#include "app/part.h"
#include "app/replica_part.h"
#include "cluster/hearsay.h"
#include "core/engine.h"

namespace silverrail::app {

class HearsayPart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        core::Engine& engine;
        MembershipPart& peers;
        ReplicaPart& reports;
        const core::Clock& clock;
        Log& log;
    };
    HearsayPart(World world, const config::PeersSettings& settings, std::uint64_t seed);
    void start() override {
        tick();
    }
    void stop() override {
        timer_.cancel();
    }
    std::string counters() override;

private:
    void tick();
    std::vector<cluster::SeenServer> servers() const;

    World world_;
    std::string name_;
    cluster::Hearsay hearsay_;
    net::asio::steady_timer timer_;
};

}  // namespace silverrail::app

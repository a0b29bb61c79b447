// Failover in the running program: the state machine of src/cluster/failover between the core, the reports
// and the replicated state. Made only where the `peers` section names zones.
#pragma once

#include "app/part.h"
#include "app/replica_part.h"
#include "cluster/failover.h"
#include "core/engine.h"
#include "front/admin/admin.h"
#include "net/tcp_health_check.h"

namespace silverrail::app {

class FailoverPart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        core::Engine& engine;
        MembershipPart& peers;
        ReplicaPart& shared;
        ReplicaPart& reports;
        const core::Clock& clock;
        Log& log;
    };
    FailoverPart(World world, const config::PeersSettings& settings, std::uint64_t seed);
    void start() override {
        tick();
    }
    void stop() override;
    std::string counters() override;

    // The answer to FAILOVER: a line a zone: name, region, routers alive/configured, health and warmth in per
    // cent or "-", epoch, per cent of its requests that leave, where to, pin, changes, flaps; then "--".
    std::string standings() const;
    // By hand, for the fleet: `how` is IN, OUT or OFF.
    front::admin::CommandResult pin(const std::string& zone, const std::string& how);

private:
    struct Server {
        std::string id, address;
        cluster::ZoneServer zone_server;
        bool doubted = false;  // a connect is to tell
    };
    struct Probe {
        bool listens = false;
        cluster::Time next{};
        bool told = false, under_way = false;
    };
    void tick();
    bool steered() const;  // does the own zone get nothing?
    double warmth(const core::Server& server) const;
    std::vector<Server> own_servers(const std::map<std::string, std::string>& alive);
    void probe(const std::vector<Server>& servers);
    void logged(const cluster::Failover::Change& change);

    World world_;
    std::string name_, zone_;
    cluster::UnixMs doubt_for_;  // another's word on a server is a reason to look for so long
    cluster::Failover failover_;
    cluster::Voice voice_;
    net::TcpHealthCheck health_check_;
    net::asio::steady_timer timer_;
    std::map<std::string, Probe> probes_;
    std::map<std::string, double> factors_;
    std::map<std::string, double> weights_;
    cluster::Health health_;
    std::optional<core::Time> back_since_;  // when the own zone was let in again
    std::uint64_t written_ = 0, probed_ = 0, probes_failed_ = 0;
};

}  // namespace silverrail::app

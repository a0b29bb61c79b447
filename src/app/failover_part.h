// Failover in the running program: the state machine of src/cluster/failover between the core, the replicated
// state and reports, and the probes of this zone's servers. Made only where the `peers` section names zones.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/part.h"
#include "app/replica_part.h"
#include "cluster/failover/failover.h"
#include "cluster/reports/report_publisher.h"
#include "core/engine.h"
#include "front/admin/admin.h"
#include "net/tcp_health_check.h"

namespace silverrail::app {

class FailoverPart : public Part {
public:
    // All must outlive the part.
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        MembershipPart& membership;
        ReplicaPart& replicated_state;
        ReplicaPart& reports;
        const core::Clock& clock;
        Log& log;
    };
    FailoverPart(const Dependencies& dependencies, const config::PeersSettings& settings, std::uint64_t seed);
    void start() override {
        tick();
    }
    void stop() override;
    std::string counters() override;

    // The answer to FAILOVER: a line a zone: name, region, routers alive/configured, health and warmth in per
    // cent or "-", epoch, per cent of its requests that leave, where to, override, changes, flaps; then "--".
    std::string status() const;
    // An operator's override for the fleet: `how` is IN, OUT or OFF.
    front::admin::CommandResult set_override(const std::string& zone, const std::string& how);

private:
    struct LocalServer {
        std::string id;
        std::string address;
        cluster::ZoneServer health;
        bool suspected = false;  // to be probed
    };
    // The probe of a suspected server: the last result, and when the next is due.
    struct Probe {
        bool connected = false;
        cluster::Time next{};
        bool finished = false;
        bool under_way = false;
    };

    void tick();
    void schedule_tick();
    cluster::Failover::Result run_failover(cluster::Time now,
                                           const std::map<std::string, std::string>& alive);
    void publish_report(cluster::Time now, const std::optional<cluster::ZoneHealth>& report);
    void apply_weight_factors(const std::map<std::string, double>& factors);
    bool is_drained() const;  // does the own zone get no requests?
    double warm_share(const core::Server& server) const;
    std::vector<LocalServer> observe_servers(const std::map<std::string, std::string>& alive);
    LocalServer observe(const core::Server& server, bool outlier, bool reported) const;
    void probe_suspected(const std::vector<LocalServer>& servers);
    void start_probe(const LocalServer& server);
    void measure_health(const std::vector<LocalServer>& servers);
    void apply(const cluster::Failover::Result& result, cluster::Time now);
    // Requests of the own zone that were sent to others, as counted by the core.
    struct RemoteAttempts {
        std::uint64_t out_of_zone = 0;
        std::uint64_t out_of_region = 0;
    };
    RemoteAttempts remote_attempts() const;
    void log_change(const cluster::Failover::Change& change);

    Dependencies with_;
    std::string router_name_;
    std::string zone_;
    cluster::UnixMs max_report_age_;  // older reports of other routers on a server call for no probe
    cluster::Failover failover_;
    cluster::ReportPublisher publisher_;
    net::TcpHealthCheck health_check_;
    net::asio::steady_timer timer_;
    std::map<std::string, Probe> probes_;  // by server id
    std::map<std::string, double> weight_factors_;
    cluster::ZoneWeights zone_weights_;
    cluster::ZoneHealth zone_health_;
    std::optional<core::Time> recovered_at_;  // when the own zone got requests again
    std::uint64_t decisions_written_ = 0;
    std::uint64_t probes_finished_ = 0;
    std::uint64_t probes_failed_ = 0;
};

}  // namespace silverrail::app

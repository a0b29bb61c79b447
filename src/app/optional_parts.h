// The optional subsystems that the settings turn on, as one: made, started and ended together.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "app/membership_part.h"
#include "app/part.h"
#include "app/replica_part.h"
#include "config/config.h"
#include "config/operator_settings.h"
#include "core/engine.h"
#include "front/admin/admin.h"
#include "lifecycle.h"
#include "limits/process_quota.h"

namespace silverrail::app {

class OptionalParts {
public:
    struct Dependencies {
        net::asio::io_context& io;
        core::Engine& engine;
        const core::Clock& clock;
        core::Timers& timers;
        const Lifecycle& lifecycle;
        Log& log;
        const config::Config& config;
        const config::OperatorSettings& settings;
        std::string shared_folder;               // of files shared by this router's processes; empty: none
        const limits::ProcessQuota& quota;       // of the router's limits, as of create()
        std::function<void()> free_descriptors;  // closes connections that are not needed
    };
    explicit OptionalParts(Dependencies dependencies) : with_(std::move(dependencies)) {}
    // Makes the parts; some bind their listeners. Throws config::ConfigError where settings are unusable.
    void create();
    void start();            // before the first request; throws what makes a start impossible
    void stop();             // nothing new enters
    void end();              // everything has been answered
    void dump();             // SIGUSR2
    std::string counters();  // one "name value" a line

private:
    // Made for the parts that build on them; null where the router has no peers.
    struct PeerServices {
        MembershipPart* peers = nullptr;
        ReplicaPart* state = nullptr;    // replicated, durable
        ReplicaPart* reports = nullptr;  // on servers, in memory only
    };

    void add_trace();
    void add_peers();
    void add_server_reports();
    void add_failover();
    void add_control();
    void add_dns();
    std::string shared_file(const char* extension) const;
    // Owned here from now on; returns it for those that use it.
    template <class SomePart>
    SomePart* add(std::unique_ptr<SomePart> part);

    Dependencies with_;
    std::vector<std::unique_ptr<Part>> parts_;  // in the order they start
    PeerServices peer_services_;
    front::admin::ClusterCommands cluster_commands_;
};

}  // namespace silverrail::app

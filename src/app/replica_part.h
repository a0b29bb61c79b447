// A replicated state in the running program: the state machine of src/cluster/replicated_state on the peers'
// transport, stored before anything of it goes out. Made only where the settings have a `peers` section.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/membership_part.h"
#include "app/part.h"
#include "cluster/replicated_state/replica.h"
#include "cluster/reports/report_publisher.h"
#include "core/ports.h"
#include "store/replica_store.h"

namespace silverrail::app {

class ReplicaPart : public Part {
public:
    // All must outlive the part.
    struct Dependencies {
        net::asio::io_context& io;
        MembershipPart& membership;
        const core::Clock& clock;
        Log& log;
    };
    // The state that operators change, stored in `file`. If that is empty, or locked by another process of
    // this router, nothing is stored, which is logged. A file that is damaged or belongs to another router is
    // renamed; the log gives its new name.
    ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                const std::string& file, std::uint64_t seed);
    // The reports of routers on servers and zones: on a channel of their own, in memory only, expiring.
    struct Reports {};
    ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings, Reports,
                std::uint64_t seed);

    void start() override;
    void stop() override {
        timer_.cancel();
    }
    std::string counters() override;

    // Called from start() on with the keys whose value may have changed.
    using Listener = std::function<void(const std::set<std::string>& keys)>;
    void add_listener(Listener listener) {
        listeners_.push_back(std::move(listener));
    }
    // A change made here: stored when it returns true, and on its way to the peers.
    bool set(const std::string& key, const std::string& value);
    bool clear(const std::string& key);
    // A report of this router's, or its withdrawal.
    void publish(const std::string& reporter, const cluster::ReportUpdate& update);

    bool is_set(const std::string& key) const {
        return replica_.is_set(key);
    }
    const cluster::Replica::Entries& entries() const {
        return replica_.entries();
    }
    std::uint64_t revision() const {
        return replica_.revision();
    }
    // Nothing was restored from a store.
    bool started_empty() const {
        return started_empty_;
    }
    // The answer to REPLICA: a line an origin: origin, own version, highest version heard of, lag; then "--".
    std::string status() const;

private:
    // The store and what was read from it; without a store there is only a new origin.
    struct Stored {
        std::string origin;
        bool empty = true;
        std::unique_ptr<store::ReplicaStore> store{};
        cluster::Replica::Entries entries{};
        cluster::Replica::WriterLogs origins{};
        std::chrono::milliseconds opening_time{0};  // of opening and reading the store
    };
    static Stored open_store(const std::string& file, const std::string& new_origin, Log& log);
    static Stored read_store(const std::string& file, const std::string& new_origin);

    ReplicaPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                const cluster::ReplicaSettings& replica, const char* counter_prefix, std::uint64_t seed,
                Stored stored);
    void tick();
    bool store_changes();

    Dependencies with_;
    const char* counter_prefix_;
    std::unique_ptr<store::ReplicaStore> store_;
    cluster::Replica replica_;
    bool started_empty_;
    std::chrono::milliseconds opening_time_;
    net::asio::steady_timer timer_;
    std::vector<Listener> listeners_;
    std::uint64_t failed_writes_ = 0;
};

}  // namespace silverrail::app

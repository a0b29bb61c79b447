// A replicated state in the running program: the state machine of src/cluster/replicated_state on the peers'
// transport, stored before anything of it goes out. Made only where the settings have a `peers` section.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/membership_part.h"
#include "app/part.h"
#include "cluster/replicated_state/replica.h"
#include "cluster/voice.h"
#include "core/ports.h"
#include "store/replica_store.h"

namespace silverrail::app {

class ReplicaPart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        MembershipPart& peers;
        const core::Clock& clock;
        Log& log;
    };
    // The state that operators change, stored in `file`. Where that is empty, or held by another process of
    // this router, nothing outlives the process, and the log says so. A file that is damaged or somebody
    // else's is renamed, and the log gives its new name.
    ReplicaPart(World world, const config::PeersSettings& settings, const std::string& file,
                std::uint64_t seed);
    // The reports of routers on servers and zones: on a channel of their own, in memory only, ageing out.
    struct Reports {};
    ReplicaPart(World world, const config::PeersSettings& settings, Reports, std::uint64_t seed);

    void start() override;
    void stop() override {
        timer_.cancel();
    }
    std::string counters() override;

    // Called from the start on with the keys whose value may have changed.
    using Listener = std::function<void(const std::set<std::string>& keys)>;
    void add_listener(Listener listener) {
        listeners_.push_back(std::move(listener));
    }
    // A change made here: stored when it returns true, and on its way to the peers.
    bool set(const std::string& key, const std::string& value);
    bool clear(const std::string& key);
    // A report of this router's, or its withdrawal.
    void say(const std::string& reporter, const cluster::Voice::Say& say);

    bool is_set(const std::string& key) const {
        return replica_.is_set(key);
    }
    const cluster::Replica::Entries& entries() const {
        return replica_.entries();
    }
    std::uint64_t revision() const {
        return replica_.revision();
    }
    // True where nothing was restored: what the router holds from elsewhere is still to be set.
    bool started_empty() const {
        return started_empty_;
    }
    // The answer to REPLICA: a line an origin: origin, version held, highest heard, lag; then "--".
    std::string status() const;

private:
    // The store and what was read from it; without a store there is only a new origin.
    struct Stored {
        std::string origin;
        bool empty = true;
        std::unique_ptr<store::ReplicaStore> store{};
        cluster::Replica::Entries entries{};
        cluster::Replica::OriginLogs origins{};
    };
    static Stored open_store(const std::string& file, const std::string& new_origin, Log& log);
    static Stored read_store(const std::string& file, const std::string& new_origin);

    ReplicaPart(World world, const config::PeersSettings& settings, const cluster::ReplicaSettings& replica,
                const char* counter_prefix, std::uint64_t seed, Stored stored);
    void tick();
    bool store_changes();

    World world_;
    const char* counter_prefix_;
    std::unique_ptr<store::ReplicaStore> store_;
    cluster::Replica replica_;
    bool started_empty_;
    net::asio::steady_timer timer_;
    std::vector<Listener> listeners_;
    std::uint64_t failed_writes_ = 0;
};

}  // namespace silverrail::app

// The replicated state in the running program: the state machine of src/cluster/replica over the peers'
// transport, written to its store before anything of it goes out. Made only where the settings have a `peers`
// section.
#pragma once

#include <optional>

#include "app/part.h"
#include "app/peers_part.h"
#include "cluster/replica.h"
#include "cluster/voice.h"
#include "core/ports.h"
#include "store/replica_store.h"

namespace silverrail::app {

class ReplicaPart : public Part {
public:
    struct World {
        net::asio::io_context& io;
        PeersPart& peers;
        const core::Clock& clock;
        Log& log;
    };
    // `file` empty, or held by another process of this router: nothing is kept over a restart, and the log
    // says so. A file that is damaged or somebody else's is set aside under another name, which the log
    // gives.
    ReplicaPart(World world, const config::PeersSettings& settings, const std::string& file,
                std::uint64_t seed);
    // What ages: reports, on a channel of their own, kept in memory only.
    struct Ageing {};
    ReplicaPart(World world, const config::PeersSettings& settings, Ageing ageing, std::uint64_t seed);
    void start() override;
    void stop() override {
        timer_.cancel();
    }
    std::string counters() override;

    // Called with each key whose state may have changed, in force or not, from the start on.
    void follow(std::function<void(const std::set<std::string>&)> touched) {
        touched_.push_back(std::move(touched));
    }
    // A change made here: kept when it returns true, and on its way to the others.
    bool set(const std::string& key, const std::string& value);
    bool clear(const std::string& key);
    // A report of this router's, or its end.
    void say(const std::string& reporter, const cluster::Voice::Say& say);
    bool in_force(const std::string& key) const {
        return replica_.in_force(key);
    }
    const std::map<std::string, cluster::Entry>& entries() const {
        return replica_.entries();
    }
    std::uint64_t revision() const {
        return replica_.revision();
    }
    // True where nothing was restored: what the router holds from elsewhere is still to be said.
    bool fresh() const {
        return fresh_;
    }
    // The answer to REPLICA: a line an origin: origin, number held, highest heard, lag; then "--".
    std::string digest() const;

private:
    // The store, and what was in it, read once; without a store all of it empty, the origin a new one.
    struct Kept {
        std::string origin;
        bool fresh = true;  // nothing was restored
        std::unique_ptr<store::ReplicaStore> store{};
        std::map<std::string, cluster::Entry> entries{};
        std::map<std::string, cluster::Replica::Origin> origins{};
    };
    static Kept open(const std::string& file, const std::string& new_origin, Log& log);
    ReplicaPart(World world, const config::PeersSettings& settings, const cluster::ReplicaSettings& replica,
                const char* figures, std::uint64_t seed, Kept kept);
    void tick();
    bool keep();

    World world_;
    const char* figures_;  // what the names of its counters begin with
    std::unique_ptr<store::ReplicaStore> store_;
    cluster::Replica replica_;
    bool fresh_;
    net::asio::steady_timer timer_;
    std::vector<std::function<void(const std::set<std::string>&)>> touched_;
    std::uint64_t failed_writes_ = 0;
};

}  // namespace silverrail::app

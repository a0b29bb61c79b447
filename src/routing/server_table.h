// The servers known from discovery, indexed by id and role, with this router's state for each of them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

enum class ServerRole {
    cache,       // an edge cache of this router's zone
    parent,      // a cache behind the edge caches, shared by all zones
    origin,      // where objects come from and writes run
    other_zone,  // an edge cache of another zone
};
inline constexpr std::size_t kServerRoles = 4;

struct ServerState {
    ServerId id;
    std::uint64_t hash = 0;  // of the id
    ServerRole role = ServerRole::other_zone;
    double weight = 1;
    CellId cell{};
    std::string zone;
    bool listed = true;
    bool ready = true;
    std::optional<Time> started_at;  // absent: not recently
    std::uint32_t process = 0;       // increases with each new process under this id

    int attempts_in_flight = 0;  // of this router, with this server as the target
    int fills_in_flight = 0;     // of this router, with this server as the source
    double epoch_fills = 0;      // fills reported in the current epoch

    // Outlier detection; covers both roles, target and source.
    Time last_alive{};  // time of its latest response
    int failures = 0;   // consecutive, weighted
    bool ejected = false;
    Time ejected_until{};
    Span ejection_duration{};           // duration of the latest ejection
    std::optional<Time> refused_since;  // first refused connection since it was last alive
    double relative_latency = 0;        // running mean of latency divided by objective; 0: unknown

    // Slow start, in seconds of sending time.
    double slow_start_budget = 0;
    Time slow_start_refilled_at{};
};

// True if new requests may be sent to the server according to discovery.
inline bool is_usable(const ServerState& server) {
    return server.listed && server.ready;
}

// A server and its cost in the order of an object's servers, lowest first.
struct RankedServer {
    double cost = 0;
    ServerState* server = nullptr;
};

class ServerTable {
public:
    // `settings` must outlive the table.
    explicit ServerTable(const Settings& settings) : settings_(settings) {}

    // Applies a server list. If a server's start time is later than the known one, or it returns after it had
    // left, its learned state is reset. Servers that have left are removed once this router has nothing in
    // flight there.
    void apply(const ServerList& list, Time now);

    ServerState* find(const ServerId& id);
    const ServerState* find(const ServerId& id) const;
    // Null if another process has taken its place.
    ServerState* find(const ServerId& id, std::uint32_t process);
    const ServerState* find(const ServerId& id, std::uint32_t process) const;
    bool is_usable(const ServerId& id) const;

    // Listed servers of a role, ordered by id. Valid until the next call of apply().
    const std::vector<ServerState*>& listed(ServerRole role) const {
        return by_role_[static_cast<std::size_t>(role)];
    }

    // Listed servers of a role in the key's order by weighted rendezvous hashing, which is the same on every
    // router. Costs O(n log n).
    std::vector<RankedServer> in_rendezvous_order(ServerRole role, std::uint64_t key) const;

    // True if a server other than `server` has responded after `since`. For a cache any server counts,
    // otherwise only servers of the same role.
    bool others_alive_since(const ServerState& server, Time since) const;

    // Returns the ratio of the largest to the smallest parent load, by the fills reported since the last
    // call.
    double take_parent_imbalance();

private:
    void remove_all_but(const ServerList& list);
    void update(const ListedServer& listed, Time now);
    ServerRole role_of(const ListedServer& listed) const;

    const Settings& settings_;
    std::map<ServerId, ServerState> servers_;
    std::array<std::vector<ServerState*>, kServerRoles> by_role_;
};

}  // namespace silverrail::routing

// The servers that discovery lists, with what this router knows of each, found by id and by role.
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
    cache,    // an edge cache of this router's zone
    parent,   // a cache behind the edge caches, shared by all zones
    origin,   // where objects come from and writes run
    foreign,  // an edge cache of another zone
};
inline constexpr std::size_t kServerRoles = 4;

struct ServerState {
    ServerId id;
    std::uint64_t hash = 0;  // of the id
    ServerRole role = ServerRole::foreign;
    double weight = 1;
    CellId cell{};
    std::string zone;
    bool listed = true;
    bool ready = true;
    std::optional<Time> started_at;  // absent: long ago

    int attempts_in_flight = 0;  // of this router, with this server as the target
    int fills_in_flight = 0;     // of this router, with this server as the source
    double epoch_fills = 0;      // fills reported in the current epoch

    // Outlier detection, as target or as source alike.
    Time last_alive{};  // when it last gave proof of life
    int failures = 0;   // in a row, weighted
    bool ejected = false;
    Time ejected_until{};
    Span ejection{};                    // length of the latest ejection
    std::optional<Time> refused_since;  // first refused connection since it was last alive
    double relative_latency = 0;        // running mean of latency over its objective; 0: not known

    // Slow start, in seconds of sending time.
    double slow_start_budget = 0;
    Time slow_start_refilled_at{};
};

// May new requests be sent to the server, as far as discovery is concerned?
inline bool is_usable(const ServerState& server) {
    return server.listed && server.ready;
}

// A server and its place in the order of an object's servers: the lowest cost first.
struct RankedServer {
    double cost = 0;
    ServerState* server = nullptr;
};

class ServerTable {
public:
    // `settings` must outlive the table.
    explicit ServerTable(const Settings& settings) : settings_(settings) {}

    // Follows a list of discovery. A later start than the known one resets what was learned of the server.
    // Servers that have left are forgotten once nothing of this router's is in flight there.
    void apply(const ServerList& list, Time now);

    ServerState* find(const ServerId& id);
    const ServerState* find(const ServerId& id) const;
    bool is_usable(const ServerId& id) const;

    // Those of a role that are listed, by id. Valid until the next list.
    const std::vector<ServerState*>& listed(ServerRole role) const {
        return by_role_[static_cast<std::size_t>(role)];
    }

    // Those of a role that are listed, in the key's order by weighted rendezvous hashing: the same on every
    // router. Cost: O(n log n).
    std::vector<RankedServer> in_rendezvous_order(ServerRole role, std::uint64_t key) const;

    // Has any server other than `server` given proof of life since then? For a cache any server counts, for
    // others only those of the same role.
    bool others_alive_since(const ServerState& server, Time since) const;

    // The largest load of a parent over the smallest, by the fills reported since the last call.
    double take_parent_imbalance();

private:
    void update(const ListedServer& listed, Time now);
    ServerRole role_of(const ListedServer& listed) const;

    const Settings& settings_;
    std::map<ServerId, ServerState> servers_;
    std::array<std::vector<ServerState*>, kServerRoles> by_role_;
};

}  // namespace silverrail::routing

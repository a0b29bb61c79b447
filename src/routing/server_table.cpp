#include "routing/server_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

#include "routing/hashing.h"

namespace silverrail::routing {

namespace {

constexpr double kMinWeight = 0.01;

// Weighted rendezvous hashing: the score depends only on the server and the key.
double rendezvous_score(const ServerState& server, std::uint64_t key) {
    return -server.weight / std::log(to_fraction(mix_bits(server.hash ^ mix_bits(key))));
}

// A new process starts with a cold cache, and what was learned about the old one does not apply to it.
void reset_for_new_process(ServerState& server, const std::optional<Time>& started_at, Time now) {
    server.started_at = started_at;
    ++server.process;
    server.failures = 0;
    server.ejected = false;
    server.refused_since.reset();
    server.relative_latency = 0;
    server.slow_start_budget = 0;
    server.slow_start_refilled_at = now;
}

}  // namespace

void ServerTable::apply(const ServerList& list, Time now) {
    for (const ListedServer& listed : list.servers)
        update(listed, now);
    if (list.complete)
        remove_all_but(list);
    std::erase_if(servers_, [](const auto& entry) {
        const ServerState& server = entry.second;
        return !server.listed && server.attempts_in_flight == 0 && server.fills_in_flight == 0;
    });
    by_role_ = {};
    for (auto& [id, server] : servers_)
        if (server.listed)
            by_role_[static_cast<std::size_t>(server.role)].push_back(&server);
}

void ServerTable::remove_all_but(const ServerList& list) {
    std::set<ServerId> ids;
    for (const ListedServer& listed : list.servers)
        ids.insert(listed.id);
    for (auto& [id, server] : servers_)
        if (!ids.contains(id))
            server.listed = false;
}

void ServerTable::update(const ListedServer& listed, Time now) {
    const bool known = servers_.contains(listed.id);
    ServerState& server = servers_[listed.id];
    const bool returns = known && !server.listed && listed.condition != Condition::gone;
    server.id = listed.id;
    server.hash = hash_string(listed.id.address);
    server.role = role_of(listed);
    const bool weighted = settings_.server_weights == ServerWeights::nominal;
    server.weight = weighted ? std::max(listed.weight, kMinWeight) : 1.0;
    server.cell = listed.cell;
    server.zone = listed.zone;
    server.listed = listed.condition != Condition::gone;
    server.ready = listed.condition == Condition::ready;
    const bool started_later =
        listed.started_at && (!server.started_at || *listed.started_at > *server.started_at);
    // Attempts at the earlier process are still in flight, else the server would be unknown.
    if (returns || started_later)
        reset_for_new_process(server, started_later ? listed.started_at : server.started_at, now);
}

ServerRole ServerTable::role_of(const ListedServer& listed) const {
    if (listed.kind == settings_.origin_kind)
        return ServerRole::origin;
    if (!settings_.parent_kind.empty() && listed.kind == settings_.parent_kind)
        return ServerRole::parent;
    return listed.zone == settings_.zone ? ServerRole::cache : ServerRole::other_zone;
}

ServerState* ServerTable::find(const ServerId& id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

const ServerState* ServerTable::find(const ServerId& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

ServerState* ServerTable::find(const ServerId& id, std::uint32_t process) {
    ServerState* server = find(id);
    return server && server->process == process ? server : nullptr;
}

const ServerState* ServerTable::find(const ServerId& id, std::uint32_t process) const {
    const ServerState* server = find(id);
    return server && server->process == process ? server : nullptr;
}

bool ServerTable::is_usable(const ServerId& id) const {
    const ServerState* server = find(id);
    return server && routing::is_usable(*server);
}

std::vector<RankedServer> ServerTable::in_rendezvous_order(ServerRole role, std::uint64_t key) const {
    std::vector<RankedServer> order;
    for (ServerState* server : listed(role))
        order.push_back({-rendezvous_score(*server, key), server});
    std::sort(order.begin(), order.end(), [](const RankedServer& a, const RankedServer& b) {
        return std::tie(a.cost, a.server->id) < std::tie(b.cost, b.server->id);
    });
    return order;
}

bool ServerTable::others_alive_since(const ServerState& server, Time since) const {
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
        const ServerState& other = entry.second;
        const bool counts = server.role == ServerRole::cache || other.role == server.role;
        return &other != &server && counts && other.last_alive > since;
    });
}

double ServerTable::take_parent_imbalance() {
    double most = 0;
    double fewest = std::numeric_limits<double>::max();
    for (ServerState* parent : listed(ServerRole::parent)) {
        // Rendezvous hashing gives each parent a share of the fills that is proportional to its weight.
        const double load = (parent->epoch_fills + 1) / parent->weight;
        most = std::max(most, load);
        fewest = std::min(fewest, load);
        parent->epoch_fills = 0;
    }
    return most / fewest;
}

}  // namespace silverrail::routing

#include "core/server_registry.h"

namespace silverrail::core {

using routing::Condition;

std::vector<ServerId> ServerRegistry::apply(const ServerChange& change, Time now) {
    const Servers before = update_entries(change);
    update_availability(now);
    auto invalidated = servers_with_invalid_connections(before);
    if (servers_.size() > kMaxServersWithGone)
        std::erase_if(servers_, [](const auto& e) { return e.second.entry.condition == Condition::gone; });
    return invalidated;
}

// Returns the previous state of the servers that may have changed.
ServerRegistry::Servers ServerRegistry::update_entries(const ServerChange& change) {
    Servers before;
    if (change.complete) {
        before = servers_;
        for (auto& [id, server] : servers_)
            server.entry.condition = Condition::gone;
    }
    for (const Server& listed : change.servers) {
        auto [at, inserted] = servers_.try_emplace(listed.entry.id, listed);
        if (inserted)
            continue;
        before.try_emplace(at->first, at->second);
        const auto unavailable_since = at->second.unavailable_since;
        at->second = listed;
        at->second.unavailable_since = unavailable_since;
    }
    return before;
}

void ServerRegistry::update_availability(Time now) {
    for (auto& [id, server] : servers_) {
        if (server.entry.condition == Condition::ready)
            server.unavailable_since.reset();
        else if (!server.unavailable_since)
            server.unavailable_since = now;
    }
}

// A connection must not be reused once its server process has ended: the server is gone (also after a drain),
// has restarted under the same id, or has moved to another address.
std::vector<ServerId> ServerRegistry::servers_with_invalid_connections(const Servers& before) const {
    std::vector<ServerId> invalidated;
    for (const auto& [id, old] : before) {
        const Server& server = servers_.at(id);
        const bool left = server.entry.condition == Condition::gone && old.entry.condition != Condition::gone;
        if (left || server.started_ms != old.started_ms || server.address != old.address)
            invalidated.push_back(id);
    }
    return invalidated;
}

bool ServerRegistry::is_cache_server(const Server& server) const {
    return server.entry.kind != origin_kind_ && (parent_kind_.empty() || server.entry.kind != parent_kind_);
}

bool ServerRegistry::is_excluded(const Server& server) const {
    if (overrides_.excludes(server.entry.id) || reported_outliers_.contains(server.entry.id))
        return true;
    if (zone_factors_.empty() || server.entry.zone != zone_ || !is_cache_server(server))
        return false;
    const auto factor = zone_factors_.find(zone_);
    return factor == zone_factors_.end() || factor->second <= 0;
}

routing::ListedServer ServerRegistry::router_view(const Server& server) const {
    routing::ListedServer entry = server.entry;
    if (!use_listed_weights_)
        entry.weight = 1;
    if (is_excluded(server) && entry.condition == Condition::ready)
        entry.condition = Condition::draining;
    const auto factor = zone_factors_.find(entry.zone);
    if (factor != zone_factors_.end() && factor->second > 0 && is_cache_server(server)) {
        entry.zone = zone_;
        entry.weight *= factor->second;
    }
    return entry;
}

const Server* ServerRegistry::find(const ServerId& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

bool ServerRegistry::is_usable(const ServerId& id) const {
    const Server* server = find(id);
    return server && !is_excluded(*server) && !server->unavailable_since;
}

}  // namespace silverrail::core

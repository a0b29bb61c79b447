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

// A start of 0 is one that is not told, so it does not tell a new process. After a server has gone, its id is
// only known to be the same process by the same start.
bool ServerRegistry::is_new_process(const Server& listed) const {
    const Server* known = find(listed.entry.id);
    if (!known || listed.address != known->address)
        return true;
    if (listed.started_ms != 0 && listed.started_ms != known->started_ms)
        return true;
    const bool returns =
        known->entry.condition == Condition::gone && listed.entry.condition != Condition::gone;
    return returns && listed.started_ms == 0;
}

// Returns the previous state of the servers that may have changed.
ServerRegistry::Servers ServerRegistry::update_entries(const ServerChange& change) {
    Servers before;
    std::set<ServerId> replaced;
    for (const Server& listed : change.servers)
        if (is_new_process(listed))
            replaced.insert(listed.entry.id);
    if (change.complete) {
        before = servers_;
        for (auto& [id, server] : servers_)
            server.entry.condition = Condition::gone;
    }
    for (const Server& listed : change.servers) {
        auto [at, inserted] = servers_.try_emplace(listed.entry.id, listed);
        const ServerProcess process =
            replaced.contains(listed.entry.id) ? ++last_process_ : at->second.process;
        if (!inserted) {
            before.try_emplace(at->first, at->second);
            const auto unavailable_since = at->second.unavailable_since;
            at->second = listed;
            at->second.unavailable_since = unavailable_since;
        }
        at->second.process = process;
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

bool ServerRegistry::is_usable(const ServerId& id, ServerProcess process) const {
    return is_usable(id) && find(id)->process == process;
}

}  // namespace silverrail::core

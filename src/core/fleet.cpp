#include "core/fleet.h"

namespace silverrail::core {

std::vector<ServerId> Fleet::apply(const ServerChange& change, Time now) {
    using routing::Condition;
    std::vector<ServerId> dropped;
    std::map<ServerId, Server> before;
    if (change.complete) {
        before = servers_;
        for (auto& [id, server] : servers_)
            server.entry.condition = Condition::gone;
    }
    for (const Server& told : change.servers) {
        auto [at, fresh] = servers_.try_emplace(told.entry.id, told);
        if (fresh)
            continue;
        before.try_emplace(at->first, at->second);
        const auto barred = at->second.barred;
        at->second = told;
        at->second.barred = barred;
    }
    for (auto& [id, server] : servers_) {
        if (server.entry.condition == Condition::ready)
            server.barred.reset();
        else if (!server.barred)
            server.barred = now;
    }
    // Guards against a connection to a process that is no more: gone (also after it drained), restarted under
    // the same id, or moved.
    for (const auto& [id, old] : before) {
        const Server& server = servers_.at(id);
        const bool left = server.entry.condition == Condition::gone && old.entry.condition != Condition::gone;
        if (left || server.started_ms != old.started_ms || server.address != old.address)
            dropped.push_back(id);
    }
    if (servers_.size() > kGoneKept)
        std::erase_if(servers_, [](const auto& e) { return e.second.entry.condition == Condition::gone; });
    return dropped;
}

bool Fleet::is_cache_server(const Server& server) const {
    return server.entry.kind != origin_kind_ && (parent_kind_.empty() || server.entry.kind != parent_kind_);
}

bool Fleet::kept_out(const Server& server) const {
    if (bans_.contains(server.entry.id) || held_out_.contains(server.entry.id))
        return true;
    if (steering_.empty() || server.entry.zone != zone_ || !is_cache_server(server))
        return false;
    const auto factor = steering_.find(zone_);
    return factor == steering_.end() || factor->second <= 0;
}

routing::ListedServer Fleet::entry(const Server& server) const {
    routing::ListedServer entry = server.entry;
    if (!weighted_)
        entry.weight = 1;
    if (kept_out(server) && entry.condition == routing::Condition::ready)
        entry.condition = routing::Condition::draining;
    if (const auto factor = steering_.find(entry.zone);
        factor != steering_.end() && factor->second > 0 && is_cache_server(server)) {
        entry.zone = zone_;
        entry.weight *= factor->second;
    }
    return entry;
}

const Server* Fleet::find(const ServerId& id) const {
    auto at = servers_.find(id);
    return at == servers_.end() ? nullptr : &at->second;
}

bool Fleet::may_be_named(const ServerId& id) const {
    const Server* server = find(id);
    return server && !kept_out(*server) && !server->barred;
}

}  // namespace silverrail::core

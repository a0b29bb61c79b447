// The servers listed by discovery, by id, and the reasons for which they are excluded. An address may be
// reassigned from one server to another.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "overrides/server_overrides.h"

namespace silverrail::core {

struct Server {
    routing::ListedServer entry;  // entry.id is the id in discovery's server list
    std::string address;
    std::int64_t started_ms = 0;            // Unix time in ms, as listed; 0: not recently
    std::optional<Time> unavailable_since;  // when it was first seen draining or gone
    ServerProcess process = 0;              // assigned by the registry
};

struct ServerChange {
    bool complete = false;  // servers that are not in it have left
    std::vector<Server> servers;
};

// Factors on the weights of each zone's edge caches, decided by failover for the whole fleet. Empty: only
// servers of the router's own zone are used, with their listed weights. Otherwise the servers of each zone
// with a factor above 0 are treated as servers of the own zone, and all other zones, possibly the own one,
// receive no requests. Parents and origins are not affected.
using ZoneFactors = std::map<std::string, double>;

class ServerRegistry {
public:
    // Without settings, every server counts as a cache server and zone factors have no effect.
    ServerRegistry() = default;
    explicit ServerRegistry(const routing::Settings& settings)
        : zone_(settings.zone),
          parent_kind_(settings.parent_kind),
          origin_kind_(settings.origin_kind),
          use_listed_weights_(settings.server_weights == routing::ServerWeights::nominal) {}

    // Whether `listed` is another process than the one known under its id. Also true if none is known.
    bool is_new_process(const Server& listed) const;
    // Returns the ids of the servers whose open connections must not be reused: gone, restarted, or at
    // another address.
    std::vector<ServerId> apply(const ServerChange& change, Time now);
    // Servers excluded by operators. They need not be listed.
    void set_overrides(overrides::ServerOverrides overrides) {
        overrides_ = std::move(overrides);
    }
    const overrides::ServerOverrides& overrides() const {
        return overrides_;
    }
    // Servers excluded as outliers reported by other routers. Replaces the previous set.
    void set_reported_outliers(std::set<ServerId> ids) {
        reported_outliers_ = std::move(ids);
    }
    void set_zone_factors(ZoneFactors factors) {
        zone_factors_ = std::move(factors);
    }
    // By an operator, as a reported outlier, or because its zone receives no requests.
    bool is_excluded(const Server& server) const;
    // Neither a parent nor an origin.
    bool is_cache_server(const Server& server) const;
    const std::string& zone() const {
        return zone_;
    }
    const std::map<ServerId, Server>& servers() const {
        return servers_;
    }
    // The server as passed to the decision module: draining if it is excluded, with the zone factors applied.
    routing::ListedServer router_view(const Server& server) const;
    const Server* find(const ServerId& id) const;  // null: unknown
    // Whether the server may be the target or source of an attempt. This also holds for attempts that were
    // decided before the server began to drain, until their first byte: such an attempt has not run, so
    // another server can be used at no cost, and the drain's grace period may be short or partly over.
    bool is_usable(const ServerId& id) const;
    // Whether it is, and is still the process that the attempt was decided for.
    bool is_usable(const ServerId& id, ServerProcess process) const;
    template <class Test>
    bool any_available(Test test) const {
        for (const auto& [id, server] : servers_) {
            if (!server.unavailable_since && test(server))
                return true;
        }
        return false;
    }
    // Counts servers that are listed and not gone.
    template <class Test>
    std::size_t count_listed(Test test) const {
        std::size_t count = 0;
        for (const auto& [id, server] : servers_) {
            if (server.entry.condition != routing::Condition::gone && test(server))
                ++count;
        }
        return count;
    }
    std::size_t size() const {
        return servers_.size();
    }

private:
    using Servers = std::map<ServerId, Server>;
    static constexpr std::size_t kMaxServersWithGone = 256;  // above it, gone servers are erased

    Servers update_entries(const ServerChange& change);
    void update_availability(Time now);
    std::vector<ServerId> servers_with_invalid_connections(const Servers& before) const;

    Servers servers_;
    ServerProcess last_process_ = 0;
    overrides::ServerOverrides overrides_;
    std::set<ServerId> reported_outliers_;
    ZoneFactors zone_factors_;
    std::string zone_;
    std::string parent_kind_;
    std::string origin_kind_;
    bool use_listed_weights_ = true;
};

}  // namespace silverrail::core

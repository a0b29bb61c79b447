// The servers that discovery lists, by id, with what excludes them here. An address may pass from one server
// to another.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "overrides/server_overrides.h"

namespace silverrail::core {

struct Server {
    routing::ListedServer entry;  // entry.id is discovery's id
    std::string address;
    std::int64_t started_ms = 0;            // Unix time in ms, as listed; 0: long ago
    std::optional<Time> unavailable_since;  // since when it is known to drain or to be gone
};

struct ServerChange {
    bool complete = false;  // a server that it does not name has left
    std::vector<Server> servers;
};

// By zone: a factor on the weight of its servers, as failover has decided for the whole fleet. Empty: only
// servers of the own zone, as listed. Servers of a zone with a factor count as the own zone's; where any
// zone is named, one without a factor or with 0 gets nothing, the own zone included. Parents and origins are
// not concerned.
using ZoneFactors = std::map<std::string, double>;

class ServerRegistry {
public:
    // Without settings every server counts as a cache server, and zone factors have no effect.
    ServerRegistry() = default;
    explicit ServerRegistry(const routing::Settings& settings)
        : zone_(settings.zone),
          parent_kind_(settings.parent_kind),
          origin_kind_(settings.origin_kind),
          weighted_(settings.server_weights == routing::ServerWeights::nominal) {}

    // Returns the ids of the servers whose open connections are void: gone, restarted or moved.
    std::vector<ServerId> apply(const ServerChange& change, Time now);
    // Servers that an operator has excluded, listed or not.
    void set_overrides(overrides::ServerOverrides overrides) {
        overrides_ = std::move(overrides);
    }
    const overrides::ServerOverrides& overrides() const {
        return overrides_;
    }
    // Excluded as outliers on the reports of other routers. Replaces the earlier set.
    void set_reported_outliers(std::set<ServerId> ids) {
        reported_outliers_ = std::move(ids);
    }
    void set_zone_factors(ZoneFactors factors) {
        zone_factors_ = std::move(factors);
    }
    // By an operator, as a reported outlier, or with its zone.
    bool is_excluded(const Server& server) const;
    // Neither a parent nor an origin.
    bool is_cache_server(const Server& server) const;
    const std::string& zone() const {
        return zone_;
    }
    const std::map<ServerId, Server>& servers() const {
        return servers_;
    }
    // As the decision module is to see it: an excluded server drains; weight and zone follow the factors.
    routing::ListedServer router_view(const Server& server) const;
    const Server* find(const ServerId& id) const;  // absent: null
    // Whether an attempt may name the server, as target or as source. An attempt that was decided before the
    // server began to drain is concerned until its first byte: it never ran, so another server costs nothing,
    // and the drain's grace may be short or partly over.
    bool is_usable(const ServerId& id) const;
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
    static constexpr std::size_t kMaxServersWithGone = 256;  // above it, gone servers are forgotten

    Servers update_entries(const ServerChange& change);
    void update_availability(Time now);
    std::vector<ServerId> void_connections(const Servers& before) const;

    Servers servers_;
    overrides::ServerOverrides overrides_;
    std::set<ServerId> reported_outliers_;
    ZoneFactors zone_factors_;
    std::string zone_;
    std::string parent_kind_;
    std::string origin_kind_;
    bool weighted_ = true;
};

}  // namespace silverrail::core

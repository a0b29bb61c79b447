// The servers as discovery lists them, by id: an address may pass from one server to another.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/types.h"
#include "members/bans.h"

namespace silverrail::core {

struct Server {
    routing::ListedServer entry;  // entry.id is discovery's id
    std::string address;
    std::int64_t started_ms = 0;  // as listed; 0: long ago
    std::optional<Time> barred;   // since when it is known to drain or to be gone
};

struct ServerChange {
    bool complete = false;
    std::vector<Server> servers;
};

// How much of each zone's servers counts for this router, as the fleet has decided in common: a factor on
// their weight. Empty: only those of its own zone, as listed. A zone with a factor is as its own, one with 0
// or, where any is named, none at all gets nothing: the own zone too. Hub caches and stores are not steered.
using Steering = std::map<std::string, double>;

class Fleet {
public:
    // What of the module's settings tells servers apart; all the same: without it nothing is steered.
    Fleet() = default;
    explicit Fleet(const routing::Settings& settings)
        : zone_(settings.zone),
          parent_kind_(settings.parent_kind),
          origin_kind_(settings.origin_kind),
          weighted_(settings.server_weights == routing::ServerWeights::nominal) {}

    // The ids of the servers whose open connections are void: gone, restarted or moved.
    std::vector<ServerId> apply(const ServerChange& change, Time now);
    // Out by hand, whatever the list says of them, also of ids that it does not name.
    void set_bans(members::Bans bans) {
        bans_ = std::move(bans);
    }
    const members::Bans& bans() const {
        return bans_;
    }
    // Out on the word of other routers, until they say otherwise.
    void hold_out(std::set<ServerId> ids) {
        held_out_ = std::move(ids);
    }
    void steer(Steering steering) {
        steering_ = std::move(steering);
    }
    // Out by hand, by hearsay or with its zone, whatever the list says.
    bool kept_out(const Server& server) const;
    bool is_cache_server(const Server& server) const;  // neither hub cache nor store
    const std::string& zone() const {
        return zone_;
    }
    const std::map<ServerId, Server>& servers() const {
        return servers_;
    }
    // As the module is to see it: one that is out gets nothing new. The weight is the one that counts.
    routing::ListedServer entry(const Server& server) const;
    const Server* find(const ServerId& id) const;
    // May a new send name the server, as target or as source? What was decided before the list said that it
    // drains is new too, until its first byte: it never ran, so it costs nothing to send it elsewhere. The
    // grace is the settings' and may be short, and part of it may have passed before the list was heard.
    bool may_be_named(const ServerId& id) const;
    template <class Test>
    bool any(Test test) const {
        for (const auto& [id, server] : servers_)
            if (!server.barred && test(server))
                return true;
        return false;
    }
    // Of those that the list has not given up.
    template <class Test>
    std::size_t count_listed(Test test) const {
        std::size_t count = 0;
        for (const auto& [id, server] : servers_)
            if (server.entry.condition != routing::Condition::gone && test(server))
                ++count;
        return count;
    }
    std::size_t size() const {
        return servers_.size();
    }

private:
    static constexpr std::size_t kGoneKept = 256;
    std::map<ServerId, Server> servers_;
    members::Bans bans_;
    std::set<ServerId> held_out_;
    Steering steering_;
    std::string zone_, parent_kind_, origin_kind_;
    bool weighted_ = true;
};

}  // namespace silverrail::core

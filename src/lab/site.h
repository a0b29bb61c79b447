// A small deployment of the project's own, for the demo, synthetic traces and tests: its settings as a
// router's configuration holds them, and its servers. Made up; no real one is described.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "core/server_registry.h"

namespace silverrail::lab {

inline constexpr const char* kClasses[] = {"bulk-files", "portal-pages", "pay-run-lodge"};
inline constexpr const char* kZone = "cairns";

// A router's whole configuration. `listen` and `discovery` are addresses with ports; `discovery` may be
// empty.
Json::Value router_config(const std::string& name, std::uint64_t seed, const std::string& listen,
                          const std::string& discovery, int routers);

// One server as discovery lists it, and as the core knows it.
struct ServerPlan {
    std::string id;
    std::string address;
    std::string kind;  // small-server, hub, store
    double weight = 10;
    std::int64_t cell = 1;
    std::int64_t started_ms = 0;
};
Json::Value listed(const ServerPlan& server, const std::string& state);
core::Server known(const ServerPlan& server, routing::Condition condition);

// An event of discovery.
Json::Value roster_event(std::int64_t no, bool full, const std::vector<Json::Value>& servers);
Json::Value recall_event(std::int64_t no, const std::string& object, std::int64_t issued_ms);

}  // namespace silverrail::lab

// A small made-up deployment for the demo, synthetic traces and tests: the configuration of its routers, its
// servers as discovery lists them, and the events that discovery sends about them.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "core/server_registry.h"

namespace silverrail::lab {

// The request classes: two of reads, one of writes.
inline constexpr const char* kRequestClasses[] = {"bulk-files", "portal-pages", "pay-run-lodge"};
// The zone of the routers and of the servers nearest to them; all other servers are elsewhere.
inline constexpr const char* kZone = "cairns";

// The whole configuration of one of `routers` routers. `listen` and `discovery` are ADDRESS:PORT; without an
// address of discovery (empty) the router follows no endpoint list.
Json::Value router_config(const std::string& name, std::uint64_t seed, const std::string& listen,
                          const std::string& discovery, int routers);

// One server of the deployment.
struct SampleServer {
    std::string id;
    std::string address;  // ADDRESS:PORT
    std::string kind;     // small-box (a cache near the routers), hub or store
    double weight = 10;
    std::int64_t cell = 1;
    std::int64_t started_ms = 0;  // Unix time; 0: long ago
};

// The server's entry in an endpoint list. `state` is discovery's word: active, leaving or left.
Json::Value endpoint_json(const SampleServer& server, const std::string& state);

// The server as the core's registry holds it.
core::Server registry_server(const SampleServer& server, routing::Condition condition);

// Discovery's event `number`: the given endpoints, as the whole list (`full`) or as a change to it.
Json::Value endpoint_list_event(std::int64_t number, bool full, const std::vector<Json::Value>& endpoints);

// Discovery's event `number`: no copy of `object` from before `issued_ms` (Unix time) may be served.
Json::Value purge_event(std::int64_t number, const std::string& object, std::int64_t issued_ms);

}  // namespace silverrail::lab

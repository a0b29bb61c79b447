// A small deployment of the project's own, for the demo, synthetic traces and tests: its settings as a
// router's configuration holds them, and its boxes. Made up; no real one is described.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "core/fleet.h"

namespace silverrail::lab {

inline constexpr const char* kClasses[] = {"bulk-files", "portal-pages", "pay-run-lodge"};
inline constexpr const char* kZone = "cairns";

// A router's whole configuration. `listen` and `bulletin` are addresses with ports; `bulletin` may be empty.
Json::Value router_config(const std::string& name, std::uint64_t seed, const std::string& listen,
                          const std::string& bulletin, int routers);

// One box as the bulletin lists it, and as the core knows it.
struct BoxPlan {
    std::string id;
    std::string address;
    std::string kind;  // small-box, hub, store
    double weight = 10;
    std::int64_t cell = 1;
    std::int64_t started_ms = 0;
};
Json::Value listed(const BoxPlan& box, const std::string& state);
core::Box known(const BoxPlan& box, winchflow::Condition condition);

// An event of the bulletin.
Json::Value roster_event(std::int64_t no, bool full, const std::vector<Json::Value>& servers);
Json::Value recall_event(std::int64_t no, const std::string& object, std::int64_t issued_ms);

}  // namespace silverrail::lab

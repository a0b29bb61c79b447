#include "lab/sample_deployment.h"

#include "config/hex.h"

namespace silverrail::lab {

namespace {

constexpr const char* kOtherZone = "north";
constexpr const char* kCacheKind = "small-box";
constexpr const char* kParentKind = "hub";
constexpr const char* kOriginKind = "store";

constexpr std::int64_t kNsPerMs = 1'000'000;

// Settings give times in nanoseconds.
Json::Int64 milliseconds(std::int64_t count) {
    return Json::Int64{count * kNsPerMs};
}

std::string zone_of(const std::string& kind) {
    return kind == kCacheKind ? kZone : kOtherZone;
}

Json::Value json_list(std::initializer_list<Json::Value> items) {
    Json::Value list{Json::arrayValue};
    for (const Json::Value& item : items)
        list.append(item);
    return list;
}

struct RequestClass {
    const char* name;
    int latency_objective_ms;
    double objective_transfer_factor;
    int timeout_ms;
    double priority_weight;
    const char* effect;
};

Json::Value class_json(const RequestClass& request_class) {
    Json::Value json;
    json["name"] = request_class.name;
    json["aim"] = milliseconds(request_class.latency_objective_ms);
    json["aim-stretch"] = request_class.objective_transfer_factor;
    json["give-up"] = milliseconds(request_class.timeout_ms);
    json["worth"] = request_class.priority_weight;
    json["effect"] = request_class.effect;
    return json;
}

Json::Value allowed_actions() {
    Json::Value json;
    json["cancel"] = true;
    json["retry-after"] = true;
    json["connect-timeout"] = milliseconds(400);
    json["conn-idle"] = milliseconds(15000);
    json["max-retry-after"] = milliseconds(2000);
    json["try-limit"] = 6;
    return json;
}

Json::Value class_list() {
    const RequestClass bulk_files{kRequestClasses[0], 400, 1.6, 5000, 2, "pure"};
    const RequestClass portal_pages{kRequestClasses[1], 250, 2, 2500, 1, "pure"};
    const RequestClass pay_run_lodge{kRequestClasses[2], 700, 0, 3000, 3, "side_effect"};
    return json_list({class_json(bulk_files), class_json(portal_pages), class_json(pay_run_lodge)});
}

// Lists hold one value for each class, or one for each zone.
Json::Value cache_settings(int routers) {
    Json::Value json;
    json["second-tier-kind"] = 1;
    json["origin-kind"] = 2;
    json["zone-balancers"] = json_list({0, routers});
    json["pipe-kb-per-s"] = json_list({0, 600000});
    json["one-flow-kb-per-s"] = 4000;
    json["max-age"] = json_list({milliseconds(0), milliseconds(8000), milliseconds(0)});
    json["class-grace"] = json_list({milliseconds(0), milliseconds(20000), milliseconds(0)});
    json["stale-earns"] = json_list({0, 0.5, 0});
    json["segmented"] = json_list({false, false, false});
    json["uncached"] = json_list({false, false, true});
    json["detail"] = "all";
    json["heed-within"] = milliseconds(500);
    json["cleared-within"] = milliseconds(6000);
    json["upper-cold-from"] = 0.068;
    json["parent-warms-in"] = milliseconds(21000);
    json["parent-limit-factor"] = 2;
    return json;
}

Json::Value slow_start_rules() {
    Json::Value json;
    json["cold-from"] = 0.26;
    json["cold"] = milliseconds(14000);
    json["tip-multiple"] = 2;
    json["fall"] = milliseconds(3000);
    return json;
}

Json::Value routing_settings(int routers) {
    Json::Value json;
    json["allowed"] = allowed_actions();
    json["classes"] = class_list();
    json["zone"] = kZone;
    json["dcs"] = json_list({kOtherZone, kZone});
    json["balancers"] = routers;
    json["weights"] = "rough";
    json["kinds"] = json_list({kCacheKind, kParentKind, kOriginKind});
    json["family-info"] = cache_settings(routers);
    json["invariants"] = slow_start_rules();
    return json;
}

}  // namespace

Json::Value router_config(const std::string& name, std::uint64_t seed, const std::string& listen,
                          const std::string& discovery, int routers) {
    Json::Value config;
    config["name"] = name;
    config["seed"] = config::hex_text(seed);
    config["listen"] = listen;
    config["bulletin"] = discovery;
    config["limits"]["sockets"] = 1024;
    config["limits"]["memory_mb"] = 192;
    config["settings"] = routing_settings(routers);
    return config;
}

Json::Value endpoint_json(const SampleServer& server, const std::string& state) {
    Json::Value json;
    json["id"] = server.id;
    json["addr"] = server.address;
    json["zone"] = zone_of(server.kind);
    json["kind"] = server.kind;
    json["cell"] = Json::Int64{server.cell};
    json["state"] = state;
    json["weight"] = server.weight;
    json["started_ms"] = Json::Int64{server.started_ms};
    return json;
}

core::Server registry_server(const SampleServer& server, routing::Condition condition) {
    core::Server registered;
    registered.entry.id = routing::ServerId{server.id};
    registered.entry.condition = condition;
    registered.entry.weight = server.weight;
    registered.entry.cell = routing::CellId{server.cell};
    registered.entry.zone = zone_of(server.kind);
    registered.entry.kind = server.kind;
    registered.address = server.address;
    registered.started_ms = server.started_ms;
    return registered;
}

Json::Value endpoint_list_event(std::int64_t number, bool full, const std::vector<Json::Value>& endpoints) {
    Json::Value list;
    list["version"] = Json::Int64{number};
    list["full"] = full;
    list["servers"] = Json::Value{Json::arrayValue};
    for (const Json::Value& endpoint : endpoints)
        list["servers"].append(endpoint);
    Json::Value event;
    event["no"] = Json::Int64{number};
    event["roster"] = std::move(list);
    return event;
}

Json::Value purge_event(std::int64_t number, const std::string& object, std::int64_t issued_ms) {
    Json::Value event;
    event["no"] = Json::Int64{number};
    event["recall"]["item"] = object;
    event["recall"]["issued"] = Json::Int64{issued_ms};
    return event;
}

}  // namespace silverrail::lab

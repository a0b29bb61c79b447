#include "lab/site.h"

namespace silverrail::lab {

namespace {

constexpr std::int64_t kMs = 1'000'000;

std::string zone_of(const std::string& kind) {
    return kind == "small-box" ? kZone : "north";
}

Json::Value class_json(const char* name, int aim_ms, double stretch, int give_up_ms, double priority_weight,
                       const char* effect) {
    Json::Value c;
    c["name"] = name;
    c["aim"] = Json::Int64{aim_ms * kMs};
    c["aim-stretch"] = stretch;
    c["give-up"] = Json::Int64{give_up_ms * kMs};
    c["worth"] = priority_weight;
    c["effect"] = effect;
    return c;
}

Json::Value list_of(std::initializer_list<Json::Value> items) {
    Json::Value list{Json::arrayValue};
    for (const auto& item : items)
        list.append(item);
    return list;
}

}  // namespace

Json::Value router_config(const std::string& name, std::uint64_t seed, const std::string& listen,
                          const std::string& discovery, int routers) {
    Json::Value s;
    s["allowed"]["cancel"] = true;
    s["allowed"]["retry-after"] = true;
    s["allowed"]["connect-timeout"] = Json::Int64{400 * kMs};
    s["allowed"]["conn-idle"] = Json::Int64{15000 * kMs};
    s["allowed"]["max-retry-after"] = Json::Int64{2000 * kMs};
    s["allowed"]["try-limit"] = 6;
    s["classes"] = list_of({class_json(kClasses[0], 400, 1.6, 5000, 2, "pure"),
                            class_json(kClasses[1], 250, 2, 2500, 1, "pure"),
                            class_json(kClasses[2], 700, 0, 3000, 3, "side_effect")});
    s["zone"] = kZone;
    s["dcs"] = list_of({"north", kZone});
    s["balancers"] = routers;
    s["weights"] = "rough";
    s["kinds"] = list_of({"small-box", "hub", "store"});
    Json::Value& info = s["family-info"];
    info["second-tier-kind"] = 1;
    info["origin-kind"] = 2;
    info["zone-balancers"] = list_of({0, routers});
    info["pipe-kb-per-s"] = list_of({0, 600000});
    info["one-flow-kb-per-s"] = 4000;
    info["max-age"] = list_of({Json::Int64{0}, Json::Int64{8000 * kMs}, Json::Int64{0}});
    info["class-grace"] = list_of({Json::Int64{0}, Json::Int64{20000 * kMs}, Json::Int64{0}});
    info["stale-earns"] = list_of({0, 0.5, 0});
    info["segmented"] = list_of({false, false, false});
    info["uncached"] = list_of({false, false, true});
    info["detail"] = "all";
    info["heed-within"] = Json::Int64{500 * kMs};
    info["cleared-within"] = Json::Int64{6000 * kMs};
    info["upper-cold-from"] = 0.068;
    info["parent-warms-in"] = Json::Int64{21000 * kMs};
    info["parent-limit-factor"] = 2;
    s["invariants"]["cold-from"] = 0.26;
    s["invariants"]["cold"] = Json::Int64{14000 * kMs};
    s["invariants"]["tip-multiple"] = 2;
    s["invariants"]["fall"] = Json::Int64{3000 * kMs};

    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(seed));
    Json::Value root;
    root["name"] = name;
    root["seed"] = digits;
    root["listen"] = listen;
    root["bulletin"] = discovery;
    root["limits"]["sockets"] = 1024;
    root["limits"]["memory_mb"] = 192;
    root["settings"] = std::move(s);
    return root;
}

Json::Value listed(const ServerPlan& server, const std::string& state) {
    Json::Value b;
    b["id"] = server.id;
    b["addr"] = server.address;
    b["zone"] = zone_of(server.kind);
    b["kind"] = server.kind;
    b["cell"] = Json::Int64{server.cell};
    b["state"] = state;
    b["weight"] = server.weight;
    b["started_ms"] = Json::Int64{server.started_ms};
    return b;
}

core::Server known(const ServerPlan& server, routing::Condition condition) {
    core::Server b;
    b.entry.id = routing::ServerId{server.id};
    b.entry.condition = condition;
    b.entry.weight = server.weight;
    b.entry.cell = routing::CellId{server.cell};
    b.entry.zone = zone_of(server.kind);
    b.entry.kind = server.kind;
    b.address = server.address;
    b.started_ms = server.started_ms;
    return b;
}

Json::Value roster_event(std::int64_t no, bool full, const std::vector<Json::Value>& servers) {
    Json::Value e;
    e["no"] = Json::Int64{no};
    e["roster"]["version"] = Json::Int64{no};
    e["roster"]["full"] = full;
    e["roster"]["servers"] = Json::Value{Json::arrayValue};
    for (const auto& server : servers)
        e["roster"]["servers"].append(server);
    return e;
}

Json::Value recall_event(std::int64_t no, const std::string& object, std::int64_t issued_ms) {
    Json::Value e;
    e["no"] = Json::Int64{no};
    e["recall"]["item"] = object;
    e["recall"]["issued"] = Json::Int64{issued_ms};
    return e;
}

}  // namespace silverrail::lab

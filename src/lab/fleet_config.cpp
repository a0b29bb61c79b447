#include "lab/fleet_config.h"

#include <algorithm>

namespace silverrail::lab {

namespace {

constexpr const char* kDefaultZone = "edge-1";
constexpr std::size_t kDefaultPeerZones = 3;

// Settings give times in nanoseconds.
Json::Int64 milliseconds(std::int64_t count) {
    return Json::Int64{count * 1'000'000};
}

template <class Value>
Json::Value list_of(std::initializer_list<Value> items) {
    Json::Value list{Json::arrayValue};
    for (const Value& item : items)
        list.append(item);
    return list;
}

void add_keys(Json::Value& json, const Json::Value& more) {
    for (const std::string& key : more.getMemberNames())
        json[key] = more[key];
}

std::string client_zone(const FleetOptions& options, std::size_t member) {
    return options.locations.empty() ? kDefaultZone : options.locations.at(member).zone;
}

std::size_t members_in_zone(const FleetOptions& options, const std::string& zone) {
    if (options.locations.empty())
        return options.members;
    const auto count =
        std::count_if(options.locations.begin(), options.locations.end(),
                      [&zone](const FleetOptions::Location& location) { return location.zone == zone; });
    return static_cast<std::size_t>(count);
}

std::vector<FleetServer> default_servers() {
    std::vector<FleetServer> servers;
    servers.reserve(kDefaultServers);
    for (std::size_t i = 0; i < kDefaultServers; ++i)
        servers.push_back({server_id(i), "127.0.0.1:" + std::to_string(1 + i), kDefaultZone});
    return servers;
}

Json::Value endpoint_json(const FleetServer& server) {
    Json::Value json;
    json["id"] = server.id;
    json["addr"] = server.address;
    json["zone"] = server.zone;
    json["kind"] = server.kind;
    json["cell"] = 1;
    json["state"] = server.state;
    json["weight"] = server.weight;
    json["started_ms"] = 0;
    return json;
}

// The endpoint list that a router starts with, as the first event of discovery.
Json::Value known_events(const std::vector<FleetServer>& servers) {
    Json::Value event;
    event["no"] = 1;
    event["roster"]["full"] = true;
    event["roster"]["servers"] = Json::Value{Json::arrayValue};
    for (const FleetServer& server : servers)
        event["roster"]["servers"].append(endpoint_json(server));
    Json::Value known;
    known["no"] = 1;
    known["items"].append(event);
    return known;
}

Json::Value class_json(const char* name, std::int64_t objective_ms, const char* effect) {
    Json::Value json;
    json["name"] = name;
    json["aim"] = milliseconds(objective_ms);
    json["give-up"] = milliseconds(5000);
    json["effect"] = effect;
    return json;
}

Json::Value allowed_actions() {
    Json::Value json;
    json["cancel"] = true;
    json["connect-timeout"] = milliseconds(400);
    json["conn-idle"] = milliseconds(15000);
    json["retry-after"] = true;
    json["max-retry-after"] = milliseconds(500);
    json["try-limit"] = 6;
    return json;
}

Json::Value routing_settings(const FleetOptions& options, std::size_t member) {
    const std::string zone = client_zone(options, member);
    Json::Value json;
    json["allowed"] = allowed_actions();
    json["classes"] = list_of({class_json("pages", 250, "pure"), class_json("lodge", 700, "side_effect")});
    json["zone"] = zone;
    json["dcs"] = list_of({zone});
    json["weights"] = "rough";
    json["balancers"] = Json::UInt64{options.members};
    json["kinds"] = list_of({"small-box", "parent", "origin"});
    Json::Value& cache = json["family-info"];
    cache["second-tier-kind"] = 1;
    cache["origin-kind"] = 2;
    cache["zone-balancers"] = list_of({Json::UInt64{members_in_zone(options, zone)}});
    cache["uncached"] = list_of({false, true});
    cache["detail"] = "all";
    add_keys(cache, options.cache_settings);
    json["invariants"] = options.slow_start;
    return json;
}

}  // namespace

// Appended, as GCC 12 takes "m" + ... for an overlap (-Wrestrict).
std::string member_name(std::size_t member) {
    return std::string{"m"}.append(std::to_string(member));
}

std::string server_id(std::size_t server) {
    return std::string{"b-"}.append(std::to_string(server));
}

Json::Value member_config(const FleetOptions& options, std::size_t member, const MemberAddresses& addresses) {
    Json::Value json;
    json["name"] = member_name(member);
    json["listen"] = addresses.clients;
    json["seed"] = std::to_string(options.seed + member);
    json["bulletin"] = "";
    json["limits"]["sockets"] = 256;
    json["limits"]["memory_mb"] = 64;
    json["flow_bytes_per_s"] = 1e6;
    json["link_bytes_per_s"] = 4e6;
    json["known"] = known_events(options.servers ? options.servers(member) : default_servers());
    json["settings"] = routing_settings(options, member);
    return json;
}

Json::Value member_settings(const FleetOptions& options, std::size_t member,
                            const MemberAddresses& addresses) {
    const std::string default_zone = std::string{"z"}.append(std::to_string(member % kDefaultPeerZones));
    const FleetOptions::Location location =
        options.locations.empty() ? FleetOptions::Location{default_zone, "r1"} : options.locations.at(member);
    Json::Value peers;
    peers["name"] = member_name(member);
    peers["zone"] = location.zone;
    peers["region"] = location.region;
    peers["bind"] = addresses.peers;
    peers["advertise"] = addresses.advertised;
    peers["seeds"] = list_of({addresses.seed});
    add_keys(peers, options.peers);
    Json::Value json;
    json["peers"] = std::move(peers);
    return json;
}

}  // namespace silverrail::lab

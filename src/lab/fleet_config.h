// What the members of a RouterFleet are configured with: their locations, the servers they know, and the two
// files that each process reads at its start.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace silverrail::lab {

// Members are named by their index: "m0", "m1" and so on.
std::string member_name(std::size_t member);

// A server of a member's endpoint list.
struct FleetServer {
    std::string id;
    std::string address;  // ADDRESS:PORT
    std::string zone;
    std::string kind = "small-box";
    std::string state = "active";
    int weight = 10;
};

// The servers of the default endpoint list, "b-0" to "b-39": in zone edge-1, and nobody listens for them.
constexpr std::size_t kDefaultServers = 40;
std::string server_id(std::size_t server);

struct FleetOptions {
    struct Location {
        std::string zone;
        std::string region;
    };

    std::size_t members = 8;
    std::string program;                                 // path of the silverrail program
    Json::Value peers = Json::Value{Json::objectValue};  // more keys of the settings' `peers`
    std::uint64_t seed = 1;
    // Of each member. Empty: peers zones z0 to z2 of region r1, and edge-1 as the zone of all clients.
    std::vector<Location> locations{};
    // The endpoint list of a member; absent: the default one.
    std::function<std::vector<FleetServer>(std::size_t member)> servers{};
    Json::Value slow_start = Json::Value{Json::objectValue};  // the configuration's `invariants`
    Json::Value cache_settings =
        Json::Value{Json::objectValue};  // more keys of the configuration's `family-info`
};

// Where one member listens, as ADDRESS:PORT.
struct MemberAddresses {
    std::string clients;
    std::string peers;
    std::string advertised;  // where the other members reach it
    std::string seed;        // where it finds the fleet
};

// The router's configuration (EDGE_CONFIG) and its settings file (SILVERRAIL_SETTINGS).
Json::Value member_config(const FleetOptions& options, std::size_t member, const MemberAddresses& addresses);
Json::Value member_settings(const FleetOptions& options, std::size_t member,
                            const MemberAddresses& addresses);

}  // namespace silverrail::lab

// The platform's configuration file as typed settings.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "config/config_error.h"
#include "config/endpoint.h"
#include "config/json_text.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

struct Config {
    std::string name;
    std::string listen;     // ADDRESS:PORT of the client listener
    std::string control;    // ADDRESS:PORT of the admin listener; empty: none
    std::string discovery;  // ADDRESS:PORT of service discovery; empty: none
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;         // maximum number of open descriptors
    std::size_t memory_mb = 0;          // 0: not given
    double flow_bytes_per_s = 0;        // limit for one response from the cache; 0: not given
    double link_bytes_per_s = 0;        // limit for all responses from the cache together; 0: not given
    routing::Span connect_timeout{};    // to servers; 0: not given
    routing::Span conn_idle{};          // servers close an idle connection after this; 0: not given
    std::int64_t last_known_event = 0;  // number of the last event in `known`
    std::vector<Json::Value> known;     // discovery events up to the start, unparsed
    routing::Settings settings;
    Json::Value root;  // as read, without `known`
};

// Throws ConfigError, whose message contains the full path of the key.
Config parse_config(const Json::Value& root);
// Throws ConfigError, or std::system_error if the file cannot be read.
Config load_config(const std::string& path);

// Returns the paths of the settings that differ in `reloaded` and take effect only after a restart: all but
// the address of discovery. `known` is not compared, because the discovery watch has already delivered later
// events.
std::vector<std::string> settings_needing_restart(const Config& running, const Config& reloaded);

}  // namespace silverrail::config

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
    std::string listen;     // ADDRESS:PORT of the clients' listener
    std::string control;    // ADDRESS:PORT of the operators' listener; empty: none
    std::string discovery;  // ADDRESS:PORT of service discovery; empty: none
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;         // descriptors that this router may open
    std::size_t memory_mb = 0;          // 0: not given
    double flow_bytes_per_s = 0;        // of one answer from the cache at most; 0: not given
    double link_bytes_per_s = 0;        // of all answers from the cache together; 0: not given
    routing::Span connect_timeout{};    // to servers; 0: not given
    routing::Span conn_idle{};          // servers close an idle connection after this; 0: not given
    std::int64_t last_known_event = 0;  // number of the last event in `known`
    std::vector<Json::Value> known;     // discovery's events up to the start, unparsed
    routing::Settings settings;
    Json::Value root;  // as read, without `known`
};

// Throws ConfigError, whose text names the path of the key.
Config parse_config(const Json::Value& root);
// Throws ConfigError, or std::system_error if the file cannot be read.
Config load_config(const std::string& path);

// The paths of the settings that differ in `fresh` and take effect at a restart only: all but discovery's
// address. `known` is not compared; the watch has brought what has changed since.
std::vector<std::string> settings_needing_restart(const Config& running, const Config& fresh);

}  // namespace silverrail::config

// The configuration file, straight into what the program uses.
#pragma once

#include <json/json.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "config/discovery_event.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    std::string listen;     // address:port
    std::string control;    // address:port; empty: no second address
    std::string discovery;  // address:port
    std::uint64_t seed = 0;
    std::size_t sockets = 1024;
    std::size_t memory_mb = 0;    // 0: not told
    double flow_bytes_per_s = 0;  // of copies of its own: one transfer at most; 0: not told
    double link_bytes_per_s = 0;  // and all together
    routing::Span connect_timeout{};
    routing::Span conn_idle{};  // after that the other side closes an idle connection
    std::int64_t known_no = 0;  // the last event of `known`
    std::vector<Json::Value> known;
    routing::Settings settings;
    Json::Value root;  // as read, less `known`
};

// Throws ConfigError, whose text names the key.
Config parse_config(const Json::Value& root);
Config load_config(const std::string& path);

// The settings, by name, that differ in `fresh` and take a restart: all but discovery's address. What is
// known so far is no setting; discovery itself tells what has come since.
std::vector<std::string> need_restart(const Config& running, const Config& fresh);

// address:port
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};
std::optional<Endpoint> parse_endpoint(std::string_view text);

// JSON on one line.
std::string json_line(const Json::Value& json);

// Whole text as JSON; absent if it is not. Bounded in depth.
std::optional<Json::Value> parse_json(std::string_view text);

}  // namespace silverrail::config

#include "config/config.h"

#include <set>

#include "config/hex.h"
#include "config/json_object.h"
#include "config/routing_settings.h"
#include "store/read_file.h"

namespace silverrail::config {

namespace {

constexpr std::size_t kMaxFileBytes = 64UL * 1024 * 1024;

void parse_limits(const JsonObject& limits, Config& config) {
    config.sockets = static_cast<std::size_t>(limits.number_or("sockets", 1024));
    config.memory_mb = static_cast<std::size_t>(limits.number_or("memory_mb", 0));
}

void parse_known_events(const JsonObject& known, Config& config) {
    config.last_known_event = static_cast<std::int64_t>(known.number_or("no", 0));
    for (const Json::Value& event : known.list("items"))
        config.known.push_back(event);
}

// Adds the paths of the keys whose values differ.
void add_differences(const Json::Value& a, const Json::Value& b, const std::string& path_prefix,
                     std::vector<std::string>& paths) {
    std::set<std::string> keys;
    for (const Json::Value* side : {&a, &b})
        for (const auto& key : side->getMemberNames())
            keys.insert(key);
    for (const auto& key : keys)
        if (a[key] != b[key])
            paths.push_back(path_prefix + key);
}

}  // namespace

Config parse_config(const Json::Value& json) {
    const JsonObject root{json, ""};
    Config config;
    config.name = root.text_or("name", "");
    config.listen = root.text("listen");
    config.control = root.text_or("control", "");
    config.discovery = root.text_or("bulletin", "");
    const auto seed = parse_hex(root.text_or("seed", "1"));
    if (!seed)
        throw ConfigError("seed", "expected up to 16 hex digits");
    config.seed = *seed;
    if (root.has("limits"))
        parse_limits(root.child("limits"), config);
    config.flow_bytes_per_s = root.number_or("flow_bytes_per_s", 0);
    config.link_bytes_per_s = root.number_or("link_bytes_per_s", 0);
    const JsonObject settings = root.child("settings");
    config.connect_timeout = settings.child("allowed").duration("connect-timeout");
    config.conn_idle = settings.child("allowed").duration("conn-idle");
    config.settings = parse_routing_settings(settings);
    if (root.has("known"))
        parse_known_events(root.child("known"), config);
    config.root = json;
    config.root.removeMember("known");
    return config;
}

Config load_config(const std::string& path) {
    const auto json = parse_json(store::read_file(path, kMaxFileBytes));
    if (!json)
        throw ConfigError(path, "not JSON");
    return parse_config(*json);
}

std::vector<std::string> settings_needing_restart(const Config& running, const Config& fresh) {
    std::vector<std::string> paths;
    add_differences(running.root, fresh.root, "", paths);
    std::erase(paths, "bulletin");
    // Large, so that its parts are named.
    if (std::erase(paths, "settings") > 0)
        add_differences(running.root["settings"], fresh.root["settings"], "settings.", paths);
    return paths;
}

}  // namespace silverrail::config

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

// Appends the paths of the top-level keys whose values differ.
void add_differences(const Json::Value& a, const Json::Value& b, const std::string& path_prefix,
                     std::vector<std::string>& paths) {
    std::set<std::string> keys;
    for (const Json::Value* object : {&a, &b})
        for (const auto& key : object->getMemberNames())
            keys.insert(key);
    for (const auto& key : keys)
        if (a[key] != b[key])
            paths.push_back(path_prefix + key);
}

}  // namespace

Config parse_config(const Json::Value& json) {
    const JsonObject root{json, ""};
    Config config;
    config.name = root.string_or("name", "");
    config.listen = root.string("listen");
    config.control = root.string_or("control", "");
    config.discovery = root.string_or("bulletin", "");
    const auto seed = parse_hex(root.string_or("seed", "1"));
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

std::vector<std::string> settings_needing_restart(const Config& running, const Config& reloaded) {
    std::vector<std::string> paths;
    add_differences(running.root, reloaded.root, "", paths);
    std::erase(paths, "bulletin");
    // `settings` is large, so the keys inside it are reported individually.
    if (std::erase(paths, "settings") > 0)
        add_differences(running.root["settings"], reloaded.root["settings"], "settings.", paths);
    return paths;
}

}  // namespace silverrail::config

#include "config/discovery_event.h"

#include <algorithm>

#include "config/hex.h"
#include "config/keyword_table.h"

namespace silverrail::config {

namespace {

using routing::Condition;

constexpr Json::ArrayIndex kMaxServers = 4096;

// JSON numbers may be doubles, which represent integers exactly only up to about this magnitude.
constexpr double kMaxInteger = 9e15;

// Keys of discovery events.
constexpr const char* kEventNumber = "no";
constexpr const char* kServerList = "roster";
constexpr const char* kListIsComplete = "full";
constexpr const char* kServers = "servers";
constexpr const char* kPurge = "recall";
constexpr const char* kPurgedObject = "item";
constexpr const char* kPurgedGroup = "lot";
constexpr const char* kPurgeIssuedUnixMs = "issued";

// Keywords of the `state` field of a server.
constexpr std::pair<std::string_view, Condition> kStates[] = {
    {"active", Condition::ready}, {"leaving", Condition::draining}, {"left", Condition::gone}};

// Returns 0 if the value is not a number.
std::int64_t integer(const Json::Value& json, const char* key) {
    const Json::Value& value = json[key];
    if (value.isInt64())
        return value.asInt64();
    if (!value.isNumeric())
        return 0;
    return static_cast<std::int64_t>(std::clamp(value.asDouble(), -kMaxInteger, kMaxInteger));
}

// Returns an empty string if the value is not a string.
std::string string(const Json::Value& json, const char* key) {
    return json[key].isString() ? json[key].asString() : std::string{};
}

std::optional<core::Server> parse_server(const Json::Value& json) {
    const auto condition = find_keyword(kStates, string(json, "state"));
    core::Server server;
    server.entry.id = routing::ServerId{string(json, "id")};
    server.address = string(json, "addr");
    if (!condition || server.entry.id.address.empty())
        return std::nullopt;
    server.entry.condition = *condition;
    server.entry.zone = string(json, "zone");
    server.entry.kind = string(json, "kind");
    server.entry.cell = routing::CellId{integer(json, "cell")};
    if (json["weight"].isNumeric())
        server.entry.weight = json["weight"].asDouble();
    server.started_ms = integer(json, "started_ms");
    return server;
}

std::optional<core::ServerChange> parse_server_list(const Json::Value& json) {
    core::ServerChange change;
    change.complete = json[kListIsComplete].isBool() && json[kListIsComplete].asBool();
    const Json::Value& servers = json[kServers];
    if (!servers.isArray() || servers.size() > kMaxServers)
        return std::nullopt;
    for (const Json::Value& item : servers) {
        if (!item.isObject())
            return std::nullopt;
        if (auto server = parse_server(item))
            change.servers.push_back(std::move(*server));
    }
    return change;
}

// A purge applies to one object or to a group of objects.
std::optional<core::PurgeNotice> parse_purge(const Json::Value& json) {
    core::PurgeNotice purge;
    if (json[kPurgedObject].isString()) {
        const auto object = parse_hex(json[kPurgedObject].asString());
        if (!object)
            return std::nullopt;
        purge.object = routing::ObjectId{*object};
    } else if (!json[kPurgedGroup].isIntegral()) {
        return std::nullopt;
    }
    purge.group = routing::GroupId{static_cast<std::uint64_t>(integer(json, kPurgedGroup))};
    purge.issued_ms = integer(json, kPurgeIssuedUnixMs);
    return purge;
}

}  // namespace

std::optional<DiscoveryEvent> parse_event(const Json::Value& json) {
    if (!json.isObject())
        return std::nullopt;
    const std::int64_t number = integer(json, kEventNumber);
    if (const Json::Value& list = json[kServerList]; list.isObject()) {
        auto change = parse_server_list(list);
        return change ? std::optional{DiscoveryEvent{number, std::move(*change)}} : std::nullopt;
    }
    if (const Json::Value& notice = json[kPurge]; notice.isObject()) {
        const auto purge = parse_purge(notice);
        return purge ? std::optional{DiscoveryEvent{number, *purge}} : std::nullopt;
    }
    return std::nullopt;
}

}  // namespace silverrail::config

#include "config/discovery_event.h"

#include <algorithm>
#include <charconv>

namespace silverrail::config {

namespace {

using routing::Condition;

constexpr Json::ArrayIndex kMostServers = 4096;

std::optional<Condition> condition_of(const std::string& state) {
    if (state == "active")
        return Condition::ready;
    if (state == "leaving")
        return Condition::draining;
    if (state == "left")
        return Condition::gone;
    return std::nullopt;
}

std::int64_t integer(const Json::Value& json, const char* key) {
    const Json::Value& v = json[key];
    if (v.isInt64())
        return v.asInt64();
    // Past what a whole number may be here; a double that large has no exact value either.
    constexpr double kMost = 9e15;
    return v.isNumeric() ? static_cast<std::int64_t>(std::clamp(v.asDouble(), -kMost, kMost)) : 0;
}

std::string text(const Json::Value& json, const char* key) {
    return json[key].isString() ? json[key].asString() : std::string{};
}

std::optional<core::Server> parse_server(const Json::Value& json) {
    const auto condition = condition_of(text(json, "state"));
    core::Server server;
    server.entry.id = routing::ServerId{text(json, "id")};
    server.address = text(json, "addr");
    if (!condition || server.entry.id.address.empty())
        return std::nullopt;
    server.entry.condition = *condition;
    server.entry.zone = text(json, "zone");
    server.entry.kind = text(json, "kind");
    server.entry.cell = routing::CellId{integer(json, "cell")};
    if (json["weight"].isNumeric())
        server.entry.weight = json["weight"].asDouble();
    server.started_ms = integer(json, "started_ms");
    return server;
}

}  // namespace

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    std::uint64_t id = 0;
    if (text.empty() || text.size() > 16)
        return std::nullopt;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return id;
}

std::optional<DiscoveryEvent> parse_event(const Json::Value& json) {
    if (!json.isObject())
        return std::nullopt;
    DiscoveryEvent event;
    event.no = integer(json, "no");
    if (const Json::Value& roster = json["roster"]; roster.isObject()) {
        core::ServerChange change;
        change.complete = roster["full"].isBool() && roster["full"].asBool();
        const Json::Value& servers = roster["servers"];
        if (!servers.isArray() || servers.size() > kMostServers)
            return std::nullopt;
        for (const Json::Value& item : servers) {
            if (!item.isObject())
                return std::nullopt;
            if (auto server = parse_server(item))
                change.servers.push_back(std::move(*server));
        }
        event.what = std::move(change);
        return event;
    }
    if (const Json::Value& recall = json["recall"]; recall.isObject()) {
        core::PurgeNotice purge;
        if (recall["item"].isString()) {
            const auto object = parse_hex(recall["item"].asString());
            if (!object)
                return std::nullopt;
            purge.object = routing::ObjectId{*object};
        } else if (!recall["lot"].isIntegral()) {
            return std::nullopt;
        }
        purge.group = routing::GroupId{static_cast<std::uint64_t>(integer(recall, "lot"))};
        purge.issued_ms = integer(recall, "issued");
        event.what = purge;
        return event;
    }
    return std::nullopt;
}

}  // namespace silverrail::config

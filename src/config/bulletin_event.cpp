#include "config/bulletin_event.h"

#include <algorithm>
#include <charconv>

namespace silverrail::config {

namespace {

using winchflow::Condition;

constexpr Json::ArrayIndex kMostBoxes = 4096;

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

std::optional<core::Box> parse_box(const Json::Value& json) {
    const auto condition = condition_of(text(json, "state"));
    core::Box box;
    box.entry.id = winchflow::CacheId{text(json, "id")};
    box.address = text(json, "addr");
    if (!condition || box.entry.id.address.empty())
        return std::nullopt;
    box.entry.condition = *condition;
    box.entry.zone = text(json, "zone");
    box.entry.kind = text(json, "kind");
    box.entry.cell = winchflow::CellId{integer(json, "cell")};
    if (json["weight"].isNumeric())
        box.entry.weight = json["weight"].asDouble();
    box.started_ms = integer(json, "started_ms");
    return box;
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

std::optional<BulletinEvent> parse_event(const Json::Value& json) {
    if (!json.isObject())
        return std::nullopt;
    BulletinEvent event;
    event.no = integer(json, "no");
    if (const Json::Value& roster = json["roster"]; roster.isObject()) {
        core::BoxChange change;
        change.complete = roster["full"].isBool() && roster["full"].asBool();
        const Json::Value& servers = roster["servers"];
        if (!servers.isArray() || servers.size() > kMostBoxes)
            return std::nullopt;
        for (const Json::Value& server : servers) {
            if (!server.isObject())
                return std::nullopt;
            if (auto box = parse_box(server))
                change.boxes.push_back(std::move(*box));
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
            purge.object = winchflow::ObjectId{*object};
        } else if (!recall["lot"].isIntegral()) {
            return std::nullopt;
        }
        purge.group = winchflow::GroupId{static_cast<std::uint64_t>(integer(recall, "lot"))};
        purge.issued_ms = integer(recall, "issued");
        event.what = purge;
        return event;
    }
    return std::nullopt;
}

}  // namespace silverrail::config

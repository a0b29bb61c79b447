#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <memory>
#include <set>

#include "store/read_file.h"

namespace silverrail::config {

namespace {

using routing::Span;

constexpr std::size_t kLongestFile = 64 * 1024 * 1024;

// A JSON object whose keys are read by name; errors name the whole path.
class Node {
public:
    Node(const Json::Value& json, std::string path) : json_(json), path_(std::move(path)) {
        if (!json_.isObject())
            throw ConfigError(path_ + ": expected an object");
    }
    Node child(const char* key) const {
        return {json_[key], at(key)};
    }
    bool has(const char* key) const {
        return !json_[key].isNull();
    }
    const Json::Value& list(const char* key) const {
        const Json::Value& v = json_[key];
        if (!v.isArray())
            throw ConfigError(at(key) + ": expected a list");
        return v;
    }
    std::string text(const char* key) const {
        return checked_text(json_[key], at(key));
    }
    std::string text_or(const char* key, const char* fallback) const {
        return has(key) ? text(key) : std::string{fallback};
    }
    double number_or(const char* key, double fallback) const {
        return has(key) ? checked_number(json_[key], at(key)) : fallback;
    }
    Span span(const char* key) const {
        return Span{static_cast<Span::rep>(number_or(key, 0))};
    }
    Span needed_span(const char* key) const {
        if (!has(key))
            throw ConfigError(at(key) + ": absent");
        return span(key);
    }
    bool flag(const char* key) const {
        const Json::Value& v = json_[key];
        if (v.isNull())
            return false;
        if (!v.isBool())
            throw ConfigError(at(key) + ": expected true or false");
        return v.asBool();
    }
    // Item `index` of a list of numbers or flags; 0 where the list is absent or shorter.
    double item(const char* key, std::size_t index) const {
        const Json::Value& v = json_[key];
        if (!v.isArray() || index >= v.size())
            return 0;
        const Json::Value& item = v[static_cast<Json::ArrayIndex>(index)];
        return item.isBool() ? (item.asBool() ? 1 : 0) : checked_number(item, at(key));
    }
    // A place in another list; absent where it is negative or not told.
    std::optional<Json::ArrayIndex> place(const char* key) const {
        const Json::Value& v = json_[key];
        if (!v.isIntegral() || v.asInt64() < 0)
            return std::nullopt;
        return static_cast<Json::ArrayIndex>(v.asInt64());
    }
    template <class Value>
    Value one_of(const char* key, const std::string& word,
                 std::initializer_list<std::pair<const char*, Value>> known) const {
        for (const auto& [name, value] : known)
            if (word == name)
                return value;
        throw ConfigError(at(key) + ": unknown word " + word);
    }

private:
    std::string at(const char* key) const {
        return path_.empty() ? key : path_ + "." + key;
    }
    static std::string checked_text(const Json::Value& v, const std::string& path) {
        if (!v.isString())
            throw ConfigError(path + ": expected a text");
        return v.asString();
    }
    static double checked_number(const Json::Value& v, const std::string& path) {
        if (!v.isNumeric())
            throw ConfigError(path + ": expected a number");
        const double value = v.asDouble();
        if (!(value >= 0 && value < 9e18))
            throw ConfigError(path + ": out of range");
        return value;
    }
    const Json::Value& json_;
    std::string path_;
};

routing::ClassSettings parse_class(const Node& at, const Node& info, std::size_t index) {
    using routing::Idempotency;
    using routing::KeyScope;
    routing::ClassSettings c;
    c.name = at.text("name");
    c.latency_objective = at.needed_span("aim");
    c.objective_stretch = at.number_or("aim-stretch", 0);
    c.client_timeout = at.needed_span("give-up");
    c.priority_weight = at.number_or("worth", 1);
    c.late_weight = at.number_or("late-worth", 0);
    c.idempotency = at.one_of<Idempotency>("effect", at.text("effect"),
                                           {{"pure", Idempotency::idempotent},
                                            {"token", Idempotency::keyed},
                                            {"side_effect", Idempotency::none}});
    c.key_scope =
        at.one_of<KeyScope>("group", at.text_or("group", "cell"),
                            {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}});
    c.window = at.span("window");
    c.max_age = Span{static_cast<Span::rep>(info.item("max-age", index))};
    c.grace = Span{static_cast<Span::rep>(info.item("class-grace", index))};
    c.stale_weight = info.item("stale-earns", index);
    c.segmented = info.item("segmented", index) != 0;
    c.uncached = info.item("uncached", index) != 0;
    return c;
}

std::string kind_at(const Node& settings, const Node& info, const char* key) {
    const auto& kinds = settings.list("kinds");
    const auto place = info.place(key);  // -1 stands for none
    return place && *place < kinds.size() && kinds[*place].isString() ? kinds[*place].asString()
                                                                      : std::string{};
}

routing::Settings parse_settings(const Node& at) {
    using routing::OutcomeDetail;
    using routing::ServerWeights;
    const Json::Value none{Json::objectValue};
    const Node info = at.has("family-info") ? at.child("family-info") : Node{none, "family-info"};
    const Node allowed = at.child("allowed");
    const Node rules = at.child("invariants");
    routing::Settings s;
    const auto& classes = at.list("classes");
    if (classes.empty() || classes.size() > 1000)
        throw ConfigError("settings.classes: expected 1 to 1000");
    for (Json::ArrayIndex i = 0; i < classes.size(); ++i)
        s.classes.push_back(parse_class(Node{classes[i], "settings.classes." + std::to_string(i)}, info, i));
    s.zone = at.text("zone");
    const auto& zones = at.list("dcs");
    std::size_t zone = zones.size();
    for (Json::ArrayIndex i = 0; i < zones.size(); ++i)
        if (zones[i] == s.zone)
            zone = i;
    s.routers = std::max(1, static_cast<int>(at.number_or("balancers", 1)));
    const int here = static_cast<int>(info.item("zone-balancers", zone));
    s.routers_in_zone = here > 0 ? here : s.routers;
    s.zone_link_kb_per_s = info.item("pipe-kb-per-s", zone);
    s.parent_kind = kind_at(at, info, "second-tier-kind");
    s.origin_kind = kind_at(at, info, "origin-kind");
    s.server_weights = at.one_of<ServerWeights>("weights", at.text_or("weights", "off"),
                                                {{"off", ServerWeights::none},
                                                 {"nominal", ServerWeights::nominal},
                                                 {"rough", ServerWeights::nominal},
                                                 {"live", ServerWeights::live}});
    s.flow_kb_per_s = info.number_or("one-flow-kb-per-s", 0);
    s.outcome_detail = info.one_of<OutcomeDetail>(
        "detail", info.text_or("detail", "off"),
        {{"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}});
    s.cancellation_supported = allowed.flag("cancel");
    s.retry_after = allowed.flag("retry-after");
    s.direct = info.flag("bypass-allowed");
    s.joins = info.flag("shares-fills");
    s.max_retry_after = allowed.span("max-retry-after");
    s.max_attempts = std::max(1, static_cast<int>(allowed.number_or("try-limit", 1)));
    s.purge_effective_within = info.span("heed-within");
    s.purge_complete_within = info.span("cleared-within");
    s.slow_start_share = rules.number_or("cold-from", 0);
    s.slow_start_duration = rules.span("cold");
    s.overload_multiple = rules.number_or("tip-multiple", 1);
    s.overload_window = rules.span("fall");
    s.parent_slow_start_share = info.number_or("upper-cold-from", 0);
    s.parent_slow_start_duration = info.span("parent-warms-in");
    s.parent_overload_multiple = info.number_or("parent-limit-factor", 1);
    return s;
}

}  // namespace

std::optional<Json::Value> parse_json(std::string_view text) {
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = 64;
    builder["collectComments"] = false;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value root;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, nullptr))
            return std::nullopt;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
    return root;
}

std::string json_line(const Json::Value& json) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    Endpoint e;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), e.port);
    if (error != std::errc{} || end != port.data() + port.size())
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    e.host = host;
    return e;
}

Config parse_config(const Json::Value& json) {
    const Node root{json, ""};
    Config c;
    c.name = root.text_or("name", "");
    c.listen = root.text("listen");
    c.control = root.text_or("control", "");
    c.discovery = root.text_or("bulletin", "");
    const auto seed = parse_hex(root.text_or("seed", "1"));
    if (!seed)
        throw ConfigError("seed: expected up to 16 hex digits");
    c.seed = *seed;
    if (root.has("limits")) {
        c.sockets = static_cast<std::size_t>(root.child("limits").number_or("sockets", 1024));
        c.memory_mb = static_cast<std::size_t>(root.child("limits").number_or("memory_mb", 0));
    }
    c.flow_bytes_per_s = root.number_or("flow_bytes_per_s", 0);
    c.link_bytes_per_s = root.number_or("link_bytes_per_s", 0);
    const Node settings = root.child("settings");
    c.connect_timeout = settings.child("allowed").span("connect-timeout");
    c.conn_idle = settings.child("allowed").span("conn-idle");
    c.settings = parse_settings(settings);
    if (root.has("known")) {
        const Node known = root.child("known");
        c.known_no = static_cast<std::int64_t>(known.number_or("no", 0));
        for (const Json::Value& item : known.list("items"))
            c.known.push_back(item);
    }
    c.root = json;
    c.root.removeMember("known");
    return c;
}

std::vector<std::string> need_restart(const Config& running, const Config& fresh) {
    std::vector<std::string> names;
    const auto differ = [&names](const Json::Value& a, const Json::Value& b, const std::string& path) {
        std::set<std::string> keys;
        for (const Json::Value* side : {&a, &b})
            for (const auto& key : side->getMemberNames())
                keys.insert(key);
        for (const auto& key : keys)
            if (a[key] != b[key])
                names.push_back(path + key);
    };
    differ(running.root, fresh.root, "");
    std::erase(names, "bulletin");
    // The large one is told by its parts.
    if (std::erase(names, "settings") > 0)
        differ(running.root["settings"], fresh.root["settings"], "settings.");
    return names;
}

Config load_config(const std::string& path) {
    const auto json = parse_json(store::read_file(path, kLongestFile));
    if (!json)
        throw ConfigError(path + ": not JSON");
    return parse_config(*json);
}

}  // namespace silverrail::config

#include "config/routing_settings.h"

#include <algorithm>

namespace silverrail::config {

namespace {

using routing::Idempotency;
using routing::KeyScope;
using routing::OutcomeDetail;
using routing::ServerWeights;
using routing::Span;

constexpr Json::ArrayIndex kMaxClasses = 1000;

// The platform's keywords and their values.
constexpr KeywordValue<Idempotency> kIdempotencyKeywords[] = {
    {"pure", Idempotency::idempotent}, {"token", Idempotency::keyed}, {"side_effect", Idempotency::none}};
constexpr KeywordValue<KeyScope> kKeyScopeKeywords[] = {
    {"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}};
constexpr KeywordValue<ServerWeights> kServerWeightsKeywords[] = {{"off", ServerWeights::none},
                                                                  {"nominal", ServerWeights::nominal},
                                                                  {"rough", ServerWeights::nominal},
                                                                  {"live", ServerWeights::live}};
constexpr KeywordValue<OutcomeDetail> kOutcomeDetailKeywords[] = {
    {"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}};

Span nanoseconds(double count) {
    return Span{static_cast<Span::rep>(count)};
}

// `family` contains lists with one item per class, which `index` selects.
routing::ClassSettings parse_class(const JsonObject& json, const JsonObject& family, std::size_t index) {
    routing::ClassSettings c;
    c.name = json.string("name");
    c.latency_objective = json.required_duration("aim");
    c.objective_transfer_factor = json.number_or("aim-stretch", 0);
    c.client_timeout = json.required_duration("give-up");
    c.priority_weight = json.number_or("worth", 1);
    c.late_weight = json.number_or("late-worth", 0);
    c.idempotency = json.required_keyword<Idempotency>("effect", kIdempotencyKeywords);
    c.key_scope = json.keyword<KeyScope>("group", kKeyScopeKeywords, "cell");
    c.retry_window = json.duration("window");
    c.max_age = nanoseconds(family.list_item("max-age", index));
    c.stale_grace = nanoseconds(family.list_item("class-grace", index));
    c.stale_weight = family.list_item("stale-earns", index);
    c.segmented = family.list_item("segmented", index) != 0;
    c.uncached = family.list_item("uncached", index) != 0;
    return c;
}

std::vector<routing::ClassSettings> parse_classes(const JsonObject& json, const JsonObject& family) {
    const auto& list = json.list("classes");
    if (list.empty() || list.size() > kMaxClasses)
        throw ConfigError("settings.classes", "expected 1 to 1000 classes");
    std::vector<routing::ClassSettings> classes;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        const JsonObject item{list[i], "settings.classes." + std::to_string(i)};
        classes.push_back(parse_class(item, family, i));
    }
    return classes;
}

// Returns the index of the router's zone in the list of zones, or the length of the list if it is not listed.
std::size_t zone_index(const JsonObject& json, const std::string& zone) {
    const auto& zones = json.list("dcs");
    std::size_t found = zones.size();
    for (Json::ArrayIndex i = 0; i < zones.size(); ++i)
        if (zones[i] == zone)
            found = i;
    return found;
}

// Returns the server kind whose index is the value of `key`, or an empty string if there is none.
std::string server_kind(const JsonObject& json, const JsonObject& family, const char* key) {
    const auto& kinds = json.list("kinds");
    const auto index = family.index(key);
    if (!index || *index >= kinds.size() || !kinds[*index].isString())
        return {};
    return kinds[*index].asString();
}

void parse_zone(const JsonObject& json, const JsonObject& family, routing::Settings& settings) {
    settings.zone = json.string("zone");
    const std::size_t zone = zone_index(json, settings.zone);
    settings.routers = std::max(1, static_cast<int>(json.number_or("balancers", 1)));
    const int in_zone = static_cast<int>(family.list_item("zone-balancers", zone));
    settings.routers_in_zone = in_zone > 0 ? in_zone : settings.routers;
    settings.zone_link_kb_per_s = family.list_item("pipe-kb-per-s", zone);
}

void parse_servers(const JsonObject& json, const JsonObject& family, routing::Settings& settings) {
    settings.parent_kind = server_kind(json, family, "second-tier-kind");
    settings.origin_kind = server_kind(json, family, "origin-kind");
    settings.server_weights = json.keyword<ServerWeights>("weights", kServerWeightsKeywords, "off");
    settings.max_response_kb_per_s = family.number_or("one-flow-kb-per-s", 0);
    settings.outcome_detail = family.keyword<OutcomeDetail>("detail", kOutcomeDetailKeywords, "off");
}

// Reads the permitted router features and the time limits for purges.
void parse_permissions(const JsonObject& allowed, const JsonObject& family, routing::Settings& settings) {
    settings.cancellation_supported = allowed.flag("cancel");
    settings.retry_after_supported = allowed.flag("retry-after");
    settings.cache_bypass_supported = family.flag("bypass-allowed");
    settings.coalescing_supported = family.flag("shares-fills");
    settings.max_retry_after = allowed.duration("max-retry-after");
    settings.max_attempts = std::max(1, static_cast<int>(allowed.number_or("try-limit", 1)));
    settings.purge_effective_within = family.duration("heed-within");
    settings.purge_complete_within = family.duration("cleared-within");
}

void parse_server_limits(const JsonObject& rules, const JsonObject& family, routing::Settings& settings) {
    settings.slow_start_share = rules.number_or("cold-from", 0);
    settings.slow_start_duration = rules.duration("cold");
    settings.overload_multiple = rules.number_or("tip-multiple", 1);
    settings.overload_window = rules.duration("fall");
    settings.parent_slow_start_share = family.number_or("upper-cold-from", 0);
    settings.parent_slow_start_duration = family.duration("parent-warms-in");
    settings.parent_overload_multiple = family.number_or("parent-limit-factor", 1);
}

}  // namespace

routing::Settings parse_routing_settings(const JsonObject& json) {
    static const Json::Value no_family_info{Json::objectValue};
    const JsonObject family =
        json.has("family-info") ? json.child("family-info") : JsonObject{no_family_info, "family-info"};
    const JsonObject allowed = json.child("allowed");
    const JsonObject rules = json.child("invariants");
    routing::Settings settings;
    settings.classes = parse_classes(json, family);
    parse_zone(json, family, settings);
    parse_servers(json, family, settings);
    parse_permissions(allowed, family, settings);
    parse_server_limits(rules, family, settings);
    return settings;
}

}  // namespace silverrail::config

#include "settings.h"

#include <algorithm>
#include <map>
#include <string>

namespace silverrail::routing::adapter {

namespace {

constexpr double kMaxNumber = 1e15;
constexpr double kMaxNanoseconds = 9e18;  // smaller values fit into Span
constexpr double kMaxClasses = 1000;

constexpr std::array<Keyword<bool>, 4> kFlagKeywords{
    {{"true", true}, {"1", true}, {"false", false}, {"0", false}}};
constexpr std::array<Keyword<Idempotency>, 3> kIdempotencyKeywords{
    {{"pure", Idempotency::idempotent}, {"token", Idempotency::keyed}, {"side_effect", Idempotency::none}}};
constexpr std::array<Keyword<KeyScope>, 3> kKeyScopeKeywords{
    {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}}};
constexpr std::array<Keyword<ServerWeights>, 4> kServerWeightsKeywords{{{"off", ServerWeights::none},
                                                                        {"nominal", ServerWeights::nominal},
                                                                        {"rough", ServerWeights::nominal},
                                                                        {"live", ServerWeights::live}}};
constexpr std::array<Keyword<OutcomeDetail>, 3> kOutcomeDetailKeywords{
    {{"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}}};

Span nanoseconds(double count) {
    return Span{static_cast<Span::rep>(count)};
}

// Setting values by key. Members throw SettingsError for a malformed value.
class SettingPairs {
public:
    explicit SettingPairs(const Tokens& pairs) {
        for (const std::string_view pair : pairs) {
            if (const auto at = pair.find('='); at != std::string_view::npos)
                values_[std::string{pair.substr(0, at)}] = pair.substr(at + 1);
        }
    }

    // Empty if absent.
    std::string_view string(const std::string& key) const {
        const auto found = values_.find(key);
        return found == values_.end() || found->second == kAbsent ? std::string_view{} : found->second;
    }
    std::string_view required_string(const std::string& key) const {
        const std::string_view value = string(key);
        if (value.empty())
            throw SettingsError("setting absent: " + key);
        return value;
    }
    double any_number_or(const std::string& key, double fallback) const {
        const std::string_view value = string(key);
        if (value.empty())
            return fallback;
        const auto number = parse_number(value);
        if (!number)
            fail(key, value);
        return *number;
    }
    // From 0 to kMaxNumber.
    double number_or(const std::string& key, double fallback) const {
        const double value = any_number_or(key, fallback);
        if (!(value >= 0 && value <= kMaxNumber))
            fail(key);
        return value;
    }
    // The value is in nanoseconds.
    Span span_or_zero(const std::string& key) const {
        const double value = any_number_or(key, 0);
        if (!(value >= 0 && value < kMaxNanoseconds))
            fail(key);
        return nanoseconds(value);
    }
    Span required_span(const std::string& key) const {
        (void)required_string(key);
        return span_or_zero(key);
    }
    bool flag(const std::string& key) const {
        return string(key).empty() ? false : required_keyword(key, kFlagKeywords);
    }
    template <class Value, std::size_t N>
    Value required_keyword(const std::string& key, const std::array<Keyword<Value>, N>& table) const {
        const std::string_view keyword = required_string(key);
        const auto value = find_keyword(table, keyword);
        if (!value)
            fail(key, keyword);
        return *value;
    }
    // Returns the fallback if the value is absent. An empty value is not absent.
    template <class Value, std::size_t N>
    Value keyword_or(const std::string& key, const std::array<Keyword<Value>, N>& table,
                     Value fallback) const {
        if (!is_present(key))
            return fallback;
        const auto value = find_keyword(table, string(key));
        if (!value)
            fail(key, string(key));
        return *value;
    }

    // Items of comma-separated lists.
    std::string_view item(const std::string& key, std::size_t index) const {
        const Tokens items = split(string(key), ',');
        return index < items.size() ? items[index] : std::string_view{};
    }
    double item_number_or_zero(const std::string& key, std::size_t index) const {
        const std::string_view value = item(key, index);
        if (value.empty())
            return 0;
        const auto number = parse_number(value);
        if (!number)
            fail(key);
        return *number;
    }
    bool item_flag(const std::string& key, std::size_t index) const {
        return item(key, index) == "true";
    }

private:
    bool is_present(const std::string& key) const {
        const auto found = values_.find(key);
        return found != values_.end() && found->second != kAbsent;
    }
    [[noreturn]] static void fail(const std::string& key) {
        throw SettingsError("setting unreadable: " + key);
    }
    [[noreturn]] static void fail(const std::string& key, std::string_view value) {
        throw SettingsError("setting unreadable: " + key + "=" + std::string{value});
    }

    std::map<std::string, std::string_view> values_;
};

ClassSettings parse_class(const SettingPairs& pairs, std::size_t index) {
    const std::string prefix = "classes." + std::to_string(index) + ".";
    ClassSettings parsed;
    parsed.name = pairs.required_string(prefix + "name");
    parsed.latency_objective = pairs.required_span(prefix + "aim");
    parsed.objective_transfer_factor = pairs.number_or(prefix + "aim-stretch", 0);
    parsed.client_timeout = pairs.required_span(prefix + "give-up");
    parsed.priority_weight = pairs.number_or(prefix + "worth", 1);
    parsed.late_weight = pairs.number_or(prefix + "late-worth", 0);
    parsed.idempotency = pairs.required_keyword(prefix + "effect", kIdempotencyKeywords);
    parsed.key_scope = pairs.keyword_or(prefix + "group", kKeyScopeKeywords, parsed.key_scope);
    parsed.retry_window = pairs.span_or_zero(prefix + "window");
    parsed.max_age = nanoseconds(pairs.item_number_or_zero("family-info.max-age", index));
    parsed.stale_grace = nanoseconds(pairs.item_number_or_zero("family-info.class-grace", index));
    parsed.stale_weight = pairs.item_number_or_zero("family-info.stale-earns", index);
    parsed.segmented = pairs.item_flag("family-info.segmented", index);
    parsed.uncached = pairs.item_flag("family-info.uncached", index);
    return parsed;
}

void parse_classes(const SettingPairs& pairs, Settings& settings) {
    (void)pairs.required_string("classes.count");
    const double count = pairs.number_or("classes.count", 0);
    if (count > kMaxClasses)
        throw SettingsError("setting unreadable: classes.count");
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
        settings.classes.push_back(parse_class(pairs, i));
}

// Parses the number of routers in all zones and in this one, and the rate of this zone's link for fills.
void parse_zone(const SettingPairs& pairs, Settings& settings) {
    settings.zone = pairs.required_string("zone");
    const Tokens zones = split(pairs.string("dcs"), ',');
    const auto own = std::find(zones.begin(), zones.end(), settings.zone);
    const auto index = static_cast<std::size_t>(own - zones.begin());
    settings.routers = std::max(1, static_cast<int>(pairs.number_or("balancers", 1)));
    const auto in_zone = static_cast<int>(pairs.item_number_or_zero("family-info.zone-balancers", index));
    settings.routers_in_zone = in_zone > 0 ? in_zone : settings.routers;
    settings.zone_link_kb_per_s = pairs.item_number_or_zero("family-info.pipe-kb-per-s", index);
}

// Returns the server kind whose index is the value of `key`; empty if there is none.
std::string parse_kind(const SettingPairs& pairs, const std::string& key) {
    const double index = pairs.any_number_or(key, -1);
    return index < 0 ? std::string{} : std::string{pairs.item("kinds", static_cast<std::size_t>(index))};
}

void parse_servers(const SettingPairs& pairs, Settings& settings) {
    settings.parent_kind = parse_kind(pairs, "family-info.second-tier-kind");
    settings.origin_kind = parse_kind(pairs, "family-info.origin-kind");
    settings.server_weights = pairs.keyword_or("weights", kServerWeightsKeywords, settings.server_weights);
    settings.max_response_kb_per_s = pairs.number_or("family-info.one-flow-kb-per-s", 0);
    settings.outcome_detail =
        pairs.keyword_or("family-info.detail", kOutcomeDetailKeywords, settings.outcome_detail);
}

// Parses which features are available, the retry limits and the purge limits.
void parse_permissions(const SettingPairs& pairs, Settings& settings) {
    settings.cancellation_supported = pairs.flag("allowed.cancel");
    settings.retry_after_supported = pairs.flag("allowed.retry-after");
    settings.cache_bypass_supported = pairs.flag("family-info.bypass-allowed");
    settings.coalescing_supported = pairs.flag("family-info.shares-fills");
    settings.max_retry_after = pairs.span_or_zero("allowed.max-retry-after");
    settings.max_attempts = std::max(1, static_cast<int>(pairs.number_or("allowed.try-limit", 1)));
    settings.purge_effective_within = pairs.span_or_zero("family-info.heed-within");
    settings.purge_complete_within = pairs.span_or_zero("family-info.cleared-within");
}

void parse_server_limits(const SettingPairs& pairs, Settings& settings) {
    settings.slow_start_share = pairs.number_or("invariants.cold-from", 0);
    settings.slow_start_duration = pairs.span_or_zero("invariants.cold");
    settings.overload_multiple = pairs.number_or("invariants.tip-multiple", 1);
    settings.overload_window = pairs.span_or_zero("invariants.fall");
    settings.parent_slow_start_share = pairs.number_or("family-info.upper-cold-from", 0);
    settings.parent_slow_start_duration = pairs.span_or_zero("family-info.parent-warms-in");
    settings.parent_overload_multiple = pairs.number_or("family-info.parent-limit-factor", 1);
}

}  // namespace

Settings parse_settings(const Tokens& tokens) {
    const SettingPairs pairs{tokens};
    Settings settings;
    parse_classes(pairs, settings);
    parse_zone(pairs, settings);
    parse_servers(pairs, settings);
    parse_permissions(pairs, settings);
    parse_server_limits(pairs, settings);
    return settings;
}

}  // namespace silverrail::routing::adapter

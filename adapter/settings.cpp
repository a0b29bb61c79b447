#include "settings.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace silverrail::routing::adapter {
namespace {

class Pairs {
public:
    explicit Pairs(const std::vector<std::string_view>& pairs) {
        for (std::string_view pair : pairs)
            if (const auto at = pair.find('='); at != std::string_view::npos)
                values_[std::string{pair.substr(0, at)}] = pair.substr(at + 1);
    }
    const std::string_view* find(const std::string& key) const {
        auto at = values_.find(key);
        return at == values_.end() || at->second == "-" ? nullptr : &at->second;
    }
    std::string_view needed(const std::string& key) const {
        if (const auto* value = find(key); value && !value->empty())
            return *value;
        throw SettingsError("setting absent: " + key);
    }
    template <class Read, class Value>
    Value read(const std::string& key, Read parse, Value fallback) const {
        const auto* value = find(key);
        if (!value || value->empty())
            return fallback;
        try {
            return static_cast<Value>(parse(*value));
        } catch (const std::invalid_argument&) {
            throw SettingsError("setting unreadable: " + key + "=" + std::string{*value});
        }
    }
    double number(const std::string& key, double fallback = 0) const {
        const double value = read(key, to_double, fallback);
        if (!(value >= 0 && value <= 1e15))
            throw SettingsError("setting unreadable: " + key);
        return value;
    }
    Span span(const std::string& key) const {
        const auto value = read(key, to_double, 0.0);
        if (!(value >= 0 && value < 9e18))
            throw SettingsError("setting unreadable: " + key);
        return Span{static_cast<Span::rep>(value)};
    }
    Span needed_span(const std::string& key) const {
        needed(key);
        return span(key);
    }
    bool flag(const std::string& key) const {
        return read(key, to_flag, false);
    }
    std::string text(const std::string& key) const {
        const auto* value = find(key);
        return value ? std::string{*value} : std::string{};
    }
    // Item `index` of a list, or absent.
    std::string_view item(const std::string& key, std::size_t index) const {
        const auto* value = find(key);
        if (!value)
            return {};
        const auto items = split(*value, ',');
        return index < items.size() ? items[index] : std::string_view{};
    }
    double item_number(const std::string& key, std::size_t index) const {
        const auto text = item(key, index);
        if (text.empty())
            return 0;
        try {
            return to_double(text);
        } catch (const std::invalid_argument&) {
            throw SettingsError("setting unreadable: " + key);
        }
    }
    bool item_flag(const std::string& key, std::size_t index) const {
        return item(key, index) == "true";
    }
    template <class Value>
    Value one_of(const std::string& key, std::string_view value,
                 std::initializer_list<std::pair<std::string_view, Value>> known) const {
        for (const auto& [name, meaning] : known)
            if (name == value)
                return meaning;
        throw SettingsError("setting unreadable: " + key + "=" + std::string{value});
    }

private:
    static bool to_flag(std::string_view text) {
        if (text == "true" || text == "1")
            return true;
        if (text == "false" || text == "0")
            return false;
        throw std::invalid_argument("not a bool");
    }
    std::map<std::string, std::string_view> values_;
};

ClassSettings parse_class(const Pairs& pairs, std::size_t index) {
    const std::string at = "classes." + std::to_string(index) + ".";
    ClassSettings c;
    c.name = pairs.needed(at + "name");
    c.latency_objective = pairs.needed_span(at + "aim");
    c.objective_stretch = pairs.number(at + "aim-stretch");
    c.client_timeout = pairs.needed_span(at + "give-up");
    c.priority_weight = pairs.number(at + "worth", 1);
    c.late_weight = pairs.number(at + "late-worth");
    c.idempotency = pairs.one_of<Idempotency>(at + "effect", pairs.needed(at + "effect"),
                                              {{"pure", Idempotency::idempotent},
                                               {"token", Idempotency::keyed},
                                               {"side_effect", Idempotency::none}});
    if (const auto* scope = pairs.find(at + "group"))
        c.key_scope = pairs.one_of<KeyScope>(
            at + "group", *scope,
            {{"all", KeyScope::all}, {"zone", KeyScope::zone}, {"cell", KeyScope::cell}});
    c.retry_window = pairs.span(at + "window");
    c.max_age = Span{static_cast<Span::rep>(pairs.item_number("family-info.max-age", index))};
    c.stale_grace = Span{static_cast<Span::rep>(pairs.item_number("family-info.class-grace", index))};
    c.stale_weight = pairs.item_number("family-info.stale-earns", index);
    c.segmented = pairs.item_flag("family-info.segmented", index);
    c.uncached = pairs.item_flag("family-info.uncached", index);
    return c;
}

// How many routers share this one's zone, and what the zone's link for fills carries.
void parse_zone(const Pairs& pairs, Settings& s) {
    s.zone = pairs.needed("zone");
    const std::string dcs = pairs.text("dcs");
    const auto zones = split(dcs, ',');
    const auto at = static_cast<std::size_t>(std::find(zones.begin(), zones.end(), s.zone) - zones.begin());
    s.routers = std::max(1, static_cast<int>(pairs.number("balancers", 1)));
    const auto here = static_cast<int>(pairs.item_number("family-info.zone-balancers", at));
    s.routers_in_zone = here > 0 ? here : s.routers;
    s.zone_link_kb_per_s = pairs.item_number("family-info.pipe-kb-per-s", at);
}

std::string parse_kind(const Pairs& pairs, const std::string& key) {
    const double index = pairs.read(key, to_double, -1.0);
    return index < 0 ? std::string{} : std::string{pairs.item("kinds", static_cast<std::size_t>(index))};
}

}  // namespace

double to_double(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("not a number");
    return value;
}

std::int64_t to_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("not an integer");
    return value;
}

std::vector<std::string_view> split(std::string_view text, char at) {
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(at);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

Settings parse_settings(const std::vector<std::string_view>& words) {
    const Pairs pairs{words};
    Settings s;
    pairs.needed("classes.count");
    const double count = pairs.number("classes.count");
    if (count > 1000)
        throw SettingsError("setting unreadable: classes.count");
    for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i)
        s.classes.push_back(parse_class(pairs, i));
    parse_zone(pairs, s);
    s.parent_kind = parse_kind(pairs, "family-info.second-tier-kind");
    s.origin_kind = parse_kind(pairs, "family-info.origin-kind");
    if (const auto* weights = pairs.find("weights"))
        s.server_weights = pairs.one_of<ServerWeights>("weights", *weights,
                                                       {{"off", ServerWeights::none},
                                                        {"nominal", ServerWeights::nominal},
                                                        {"rough", ServerWeights::nominal},
                                                        {"live", ServerWeights::live}});
    s.max_response_kb_per_s = pairs.number("family-info.one-flow-kb-per-s");
    if (const auto* detail = pairs.find("family-info.detail"))
        s.outcome_detail = pairs.one_of<OutcomeDetail>(
            "family-info.detail", *detail,
            {{"off", OutcomeDetail::off}, {"hit", OutcomeDetail::hit}, {"all", OutcomeDetail::all}});
    s.cancellation_supported = pairs.flag("allowed.cancel");
    s.retry_after_supported = pairs.flag("allowed.retry-after");
    s.cache_bypass_supported = pairs.flag("family-info.bypass-allowed");
    s.coalescing_supported = pairs.flag("family-info.shares-fills");
    s.max_retry_after = pairs.span("allowed.max-retry-after");
    s.max_attempts = std::max(1, static_cast<int>(pairs.number("allowed.try-limit", 1)));
    s.purge_effective_within = pairs.span("family-info.heed-within");
    s.purge_complete_within = pairs.span("family-info.cleared-within");
    s.slow_start_share = pairs.number("invariants.cold-from");
    s.slow_start_duration = pairs.span("invariants.cold");
    s.overload_multiple = pairs.number("invariants.tip-multiple", 1);
    s.overload_window = pairs.span("invariants.fall");
    s.parent_slow_start_share = pairs.number("family-info.upper-cold-from");
    s.parent_slow_start_duration = pairs.span("family-info.parent-warms-in");
    s.parent_overload_multiple = pairs.number("family-info.parent-limit-factor", 1);
    return s;
}

}  // namespace silverrail::routing::adapter

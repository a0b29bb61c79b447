#include "cluster/failover/failover_codec.h"

#include <charconv>
#include <sstream>
#include <string_view>

#include "cluster/failover/failover_settings.h"

namespace silverrail::cluster {

namespace {

constexpr const char* kOverrideIn = "in";
constexpr const char* kOverrideOut = "out";

template <class Number>
std::optional<Number> parse_number(std::string_view encoded) {
    Number out{};
    const auto [end, error] = std::from_chars(encoded.data(), encoded.data() + encoded.size(), out);
    if (error != std::errc{} || end != encoded.data() + encoded.size())
        return std::nullopt;
    return out;
}

std::optional<int> parse_percent(std::string_view encoded) {
    const auto out = parse_number<int>(encoded);
    return out && *out >= 0 && *out <= 100 ? out : std::nullopt;
}

// "ZONE=PERCENT".
bool add_target(const std::string& field, std::map<std::string, int>& targets) {
    const auto equals = field.rfind('=');
    if (equals == std::string::npos || equals == 0 || targets.size() >= FailoverSettings::kMaxTargets)
        return false;
    const auto percent = parse_percent(std::string_view{field}.substr(equals + 1));
    return percent && *percent > 0 && targets.emplace(field.substr(0, equals), *percent).second;
}

}  // namespace

std::string decision_key(const std::string& zone) {
    return "failover/" + zone;
}

std::string override_key(const std::string& zone) {
    return "pin/" + zone;
}

std::string zone_subject(const std::string& zone) {
    return "zone/" + zone;
}

std::string encode(const FailoverDecision& decision) {
    std::string out = std::to_string(decision.epoch);
    for (const auto& [zone, percent] : decision.targets)
        out += " " + zone + "=" + std::to_string(percent);
    return out;
}

std::optional<FailoverDecision> decode_decision(const std::string& encoded) {
    std::istringstream fields{encoded};
    std::string field;
    if (!(fields >> field))
        return std::nullopt;
    const auto epoch = parse_number<std::uint64_t>(field);
    if (!epoch || *epoch == 0)
        return std::nullopt;
    FailoverDecision out;
    out.epoch = *epoch;
    while (fields >> field)
        if (!add_target(field, out.targets))
            return std::nullopt;
    if (out.percent_leaving() > 100)
        return std::nullopt;
    return out;
}

std::string encode(ZoneHealth health) {
    return std::to_string(health.healthy) + " " + std::to_string(health.warm);
}

std::optional<ZoneHealth> decode_zone_health(const std::string& encoded) {
    const auto space = encoded.find(' ');
    if (space == std::string::npos)
        return std::nullopt;
    const auto healthy = parse_percent(std::string_view{encoded}.substr(0, space));
    const auto warm = parse_percent(std::string_view{encoded}.substr(space + 1));
    if (!healthy || !warm)
        return std::nullopt;
    return ZoneHealth{*healthy, *warm};
}

std::string encode(FailoverOverride value) {
    return value == FailoverOverride::in ? kOverrideIn : kOverrideOut;
}

FailoverOverride decode_override(const std::string& encoded) {
    if (encoded == kOverrideIn)
        return FailoverOverride::in;
    return encoded == kOverrideOut ? FailoverOverride::out : FailoverOverride::none;
}

}  // namespace silverrail::cluster

#include "cluster/failover/failover_planner.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace silverrail::cluster {

namespace {

int percent(double share) {
    return static_cast<int>(share * 100);
}

// The share of its requests that the zone does not bear itself, in per cent.
int excess_percent(double overprovisioning, double health) {
    return 100 - static_cast<int>(std::lround(overprovisioning * health));
}

// Distributes `amount` among the targets by their capacity, rounded up; the last one takes the rest.
void share_among(const std::vector<std::pair<int, std::string>>& targets, int amount, int total_capacity,
                 std::map<std::string, int>& parts) {
    for (const auto& [capacity, target] : targets) {
        const int part = total_capacity > 0 ? (amount * capacity + total_capacity - 1) / total_capacity : 0;
        const int given = std::min(part, amount);
        amount -= given;
        total_capacity -= capacity;
        if (given > 0)
            parts[target] = given;
    }
}

// Scales parts that add up to `sum` to 100 per cent, in proportion.
void scale_to_all(std::map<std::string, int>& parts, int sum) {
    int given = 0;
    for (auto& [target, part] : parts) {
        part = part * 100 / sum;
        given += part;
    }
    parts.begin()->second += 100 - given;
}

}  // namespace

double weight_ratio(const ZoneWeights& weights, const std::string& zone, const std::string& other) {
    const auto a = weights.find(zone);
    const auto b = weights.find(other);
    if (a == weights.end() || b == weights.end() || a->second <= 0 || b->second <= 0)
        return 1;
    return a->second / b->second;
}

const std::string& region_of(const FailoverSettings& settings, const std::string& zone) {
    static const std::string none;
    const auto found = std::find_if(settings.zones.begin(), settings.zones.end(),
                                    [&zone](const FailoverZone& other) { return other.name == zone; });
    return found == settings.zones.end() ? none : found->region;
}

FailoverDecision FailoverPlanner::propose(const std::string& zone) const {
    const auto& status = zones_.at(zone);
    FailoverDecision out = status.decision;
    if (status.override_by_operator == FailoverOverride::none && !status.health)
        return out;
    const int next = next_percent(status);
    if (next == out.percent_leaving() && targets_have_capacity(zone, out))
        return out;
    out.targets = distribute(zone, next);
    return out;
}

bool FailoverPlanner::targets_have_capacity(const std::string& zone, const FailoverDecision& decision) const {
    return std::all_of(decision.targets.begin(), decision.targets.end(),
                       [&](const auto& target) { return spare_capacity(zone, target.first) > 0; });
}

int FailoverPlanner::wanted_percent(const ZoneStatus& status) const {
    switch (status.override_by_operator) {
        case FailoverOverride::in:
            return 0;
        case FailoverOverride::out:
            return 100;
        case FailoverOverride::none:
            break;
    }
    return std::max(0, excess_percent(settings_.overprovisioning, status.smoothed_health));
}

// One step towards the wanted percentage, with hysteresis.
int FailoverPlanner::next_percent(const ZoneStatus& status) const {
    const bool overridden = status.override_by_operator != FailoverOverride::none;
    const bool lost = !overridden && *status.health == 0;
    const int current = status.decision.percent_leaving();
    const int wanted = wanted_percent(status);
    const bool small = std::abs(wanted - current) < settings_.min_change * 100;
    int next = current;
    if (lost || (overridden && wanted > current))
        next = wanted;
    else if (wanted > current && !small)
        next = std::min(wanted, current + percent(settings_.step_out));
    else if (wanted < current && (wanted == 0 || !small))
        next = std::max(wanted, current - percent(settings_.step_back));
    // Requests return only as far as the recovered servers are warm; the first step back warms them up. Cold
    // servers are no reason for requests to leave.
    if (next < current && current < 100 && !overridden)
        next =
            std::min(current, std::max(next, excess_percent(settings_.overprovisioning, status.warm_health)));
    return next;
}

// The own region first, then the others in their order; within a region by the spare capacity of its zones.
std::map<std::string, int> FailoverPlanner::distribute(const std::string& zone, int percent_leaving) const {
    std::map<std::string, int> parts;
    int rest = percent_leaving;
    for (const auto& region : regions_by_preference(zone)) {
        const auto targets = targets_in(region, zone, FailoverSettings::kMaxTargets - parts.size());
        int capacity = 0;
        for (const auto& [spare, target] : targets)
            capacity += spare;
        const int amount = std::min(rest, capacity);
        rest -= amount;
        share_among(targets, amount, capacity, parts);
    }
    // No request can stay in the zone: overloading the targets is better than leaving requests without a
    // target.
    if (percent_leaving == 100 && rest > 0 && !parts.empty())
        scale_to_all(parts, 100 - rest);
    return parts;
}

std::vector<std::string> FailoverPlanner::regions_by_preference(const std::string& zone) const {
    std::vector<std::string> out{region_of(settings_, zone)};
    for (const auto& other : settings_.zones)
        if (std::find(out.begin(), out.end(), other.region) == out.end())
            out.push_back(other.region);
    return out;
}

// The targets with their spare capacity in per cent, the largest first.
std::vector<std::pair<int, std::string>> FailoverPlanner::targets_in(const std::string& region,
                                                                     const std::string& zone,
                                                                     std::size_t max_targets) const {
    std::vector<std::pair<int, std::string>> out;
    for (const auto& other : settings_.zones) {
        if (other.region != region)
            continue;
        if (const int spare = spare_capacity(zone, other.name); spare > 0)
            out.emplace_back(spare, other.name);
    }
    std::stable_sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    out.resize(std::min(out.size(), max_targets));
    return out;
}

// The share of the zone's requests, in per cent, that the target can take in addition to what it takes from
// other zones.
int FailoverPlanner::spare_capacity(const std::string& zone, const std::string& target) const {
    const auto& status = zones_.at(target);
    if (target == zone || !status.health || status.smoothed_health < settings_.panic_threshold * 100 ||
        status.override_by_operator == FailoverOverride::out || status.decision.percent_leaving() > 0)
        return 0;
    double left = std::min(100.0, settings_.overprovisioning * status.smoothed_health);
    for (const auto& [name, other] : zones_) {
        const auto part = other.decision.targets.find(target);
        if (name != zone && part != other.decision.targets.end())
            left -= part->second * weight_ratio(weights_, name, target);
    }
    return std::clamp(static_cast<int>(left * weight_ratio(weights_, target, zone)), 0, 100);
}

}  // namespace silverrail::cluster

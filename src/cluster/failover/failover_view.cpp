// Reading of a router's view: the members alive, the health reports and the overrides.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "cluster/failover/failover.h"
#include "cluster/failover/failover_codec.h"
#include "cluster/failover/failover_planner.h"
#include "cluster/hash.h"
#include "cluster/reports/report_publisher.h"

namespace silverrail::cluster {

namespace {

// Changes by a few servers are smoothed; a change of this many per cent or more applies at once.
constexpr double kImmediateHealthChange = 25;
constexpr std::chrono::duration<double> kSmoothingTime{5};

int median(std::vector<int> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

}  // namespace

void Failover::update_view(const Input& input) {
    const bool reporters_changed = update_reporters(input);
    update_quorum();
    if (reporters_changed || input.reports_revision == 0 || input.reports_revision != reports_revision_)
        read_health_reports(input);
    reports_revision_ = input.reports_revision;
    for (auto& [zone, status] : zones_)
        smooth_health(status, input.now);
    read_overrides(input);
}

// A zone's reporters are the alive members that come first by a hash: every router with the same view selects
// the same ones. False: the members alive have not changed.
bool Failover::update_reporters(const Input& input) {
    const bool has_revision = input.alive_revision != 0;
    const bool unchanged =
        has_revision ? input.alive_revision == alive_revision_ : *input.alive == last_alive_;
    if (has_decisions_ && unchanged)
        return false;
    alive_revision_ = input.alive_revision;
    last_alive_ = has_revision ? std::map<std::string, std::string>{} : *input.alive;
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>> by_zone;
    for (const auto& [member, zone] : *input.alive)
        if (zones_.contains(zone))
            by_zone[zone].emplace_back(fnv1a(fnv1a(kFnvOffsetBasis, zone), member), member);
    reporters_.clear();
    for (auto& [zone, status] : zones_) {
        auto& hashed = by_zone[zone];
        status.alive_routers = hashed.size();
        std::sort(hashed.begin(), hashed.end());
        hashed.resize(std::min(hashed.size(), settings_.max_reporters));
        auto& reporters = reporters_[zone];
        for (auto& [hash, member] : hashed)
            reporters.insert(std::move(member));
    }
    return true;
}

void Failover::update_quorum() {
    std::size_t configured = 0;
    std::size_t alive = 0;
    for (const auto& zone : settings_.zones) {
        if (zone.region != region_of(settings_, zone_))
            continue;
        configured += zone.routers;
        alive += std::min(zone.routers, zones_[zone.name].alive_routers);
    }
    has_quorum_ = 2 * alive > configured;
}

void Failover::read_health_reports(const Input& input) {
    for (auto& [zone, status] : zones_) {
        const auto& reporters = reporters_.at(zone);
        const auto subject = zone_subject(zone);
        const auto reports =
            active_reports(*input.reports, subject + '\t', input.unix_now, 0,
                           [&](const std::string& reporter) { return reporters.contains(reporter); });
        std::vector<int> healthy;
        std::vector<int> warm;
        if (const auto found = reports.find(subject); found != reports.end())
            for (const auto& [reporter, report] : found->second)
                if (const auto health = decode_zone_health(report.value)) {
                    healthy.push_back(health->healthy);
                    warm.push_back(health->warm);
                }
        status.health.reset();
        if (healthy.empty() || 2 * healthy.size() <= reporters.size())
            continue;
        // Of two reports the better one counts, so that one router's report causes no failover.
        status.health = median(std::move(healthy));
        status.warm_health = median(std::move(warm));
    }
}

void Failover::smooth_health(ZoneStatus& status, Time now) const {
    if (!status.health)
        return;
    const double gap = *status.health - status.smoothed_health;
    if (!last_tick_ || *status.health == 0 || std::abs(gap) >= kImmediateHealthChange) {
        status.smoothed_health = *status.health;
        return;
    }
    const std::chrono::duration<double> elapsed = now - *last_tick_;
    status.smoothed_health += gap * (1 - std::exp(-elapsed / kSmoothingTime));
}

void Failover::read_overrides(const Input& input) {
    for (auto& [zone, status] : zones_) {
        const auto entry = input.state->find(override_key(zone));
        const auto* value = entry == input.state->end() ? nullptr : entry->second.winner();
        status.override_by_operator = value ? decode_override(value->value) : FailoverOverride::none;
    }
}

}  // namespace silverrail::cluster

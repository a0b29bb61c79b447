#include "app/failover_part.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "cluster/failover/failover_codec.h"
#include "cluster/failover/failover_planner.h"
#include "cluster/outliers/server_report.h"

namespace silverrail::app {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr cluster::Time kProbeInterval{500};
// Well below the time after which a report ages.
constexpr cluster::Time kReportRefreshInterval{20'000};
// Each state machine draws its own numbers from the program's seed.
constexpr std::uint64_t kSeed = 0xe7037ed1a0b428dbULL;

std::size_t no_other_reporters(const std::string&) {
    return 0;
}

std::string targets_text(const cluster::FailoverDecision& decision) {
    std::string out;
    for (const auto& [zone, percent] : decision.targets)
        out += (out.empty() ? "" : ",") + zone + "=" + std::to_string(percent);
    return out.empty() ? "-" : out;
}

std::string override_text(cluster::FailoverOverride value) {
    return value == cluster::FailoverOverride::none ? "-" : cluster::encode(value);
}

std::string health_text(const cluster::ZoneStatus& status) {
    if (!status.health)
        return "-";
    return std::to_string(*status.health) + "/" + std::to_string(status.warm_health);
}

}  // namespace

FailoverPart::FailoverPart(const Dependencies& dependencies, const config::PeersSettings& settings,
                           std::uint64_t seed)
    : with_(dependencies),
      router_name_(settings.name),
      zone_(settings.zone),
      max_report_age_(settings.report_lifetime_ms),
      failover_(settings.name, settings.zone, settings.failover),
      publisher_({.refresh_interval = kReportRefreshInterval}, seed ^ kSeed),
      health_check_(dependencies.io, {}),
      timer_(dependencies.io) {}

void FailoverPart::stop() {
    timer_.cancel();
    health_check_.stop();
}

bool FailoverPart::is_drained() const {
    const auto own = weight_factors_.find(zone_);
    return own != weight_factors_.end() && own->second <= 0;
}

// The share of its capacity that the server has: its slow start counts from the later of its start and its
// zone's recovery, as for the decision module.
double FailoverPart::warm_share(const core::Server& server) const {
    const auto& settings = with_.engine.settings();
    auto since = server.entry.started_at;
    if (recovered_at_ && (!since || *recovered_at_ > *since))
        since = recovered_at_;
    if (!since || settings.slow_start_duration <= routing::Span{})
        return 1;
    const auto passed = std::chrono::duration<double>(with_.clock.now() - *since) /
                        std::chrono::duration<double>(settings.slow_start_duration);
    return settings.slow_start_share + (1 - settings.slow_start_share) * std::clamp(passed, 0.0, 1.0);
}

// The cache servers of the own zone; and the weights of all zones.
std::vector<FailoverPart::LocalServer> FailoverPart::observe_servers(
    const std::map<std::string, std::string>& alive) {
    const auto reports = cluster::active_reports(
        with_.reports.entries(), cluster::server_subject(""), with_.clock.unix_ms(), max_report_age_,
        [&](const std::string& reporter) { return reporter != router_name_ && alive.contains(reporter); });
    std::vector<LocalServer> out;
    zone_weights_.clear();
    with_.engine.for_each_server([&](const core::Server& server, bool outlier) {
        if (server.entry.condition != routing::Condition::ready || !with_.engine.is_cache_server(server))
            return;
        zone_weights_[server.entry.zone] += server.entry.weight;
        if (server.entry.zone != zone_)
            return;
        const bool reported = reports.contains(cluster::server_subject(server.entry.id.address));
        out.push_back(observe(server, outlier, reported));
    });
    return out;
}

FailoverPart::LocalServer FailoverPart::observe(const core::Server& server, bool outlier,
                                                bool reported) const {
    LocalServer out;
    out.id = server.entry.id.address;
    out.address = server.address;
    out.health.weight = server.entry.weight;
    out.health.outlier = outlier;
    out.health.banned = with_.engine.overrides().excludes(server.entry.id);
    out.health.warm_share = warm_share(server);
    // A report of another router does not count as proof; it calls for a probe.
    out.suspected = is_drained() || outlier || reported;
    const auto probe = probes_.find(out.id);
    if (out.suspected && probe != probes_.end() && probe->second.finished)
        out.health.probe_connected = probe->second.connected;
    return out;
}

void FailoverPart::probe_suspected(const std::vector<LocalServer>& servers) {
    const auto now = with_.membership.now();
    std::set<std::string> suspected;
    for (const auto& server : servers)
        if (server.suspected)
            suspected.insert(server.id);
    std::erase_if(probes_, [&](const auto& item) { return !suspected.contains(item.first); });
    for (const auto& server : servers) {
        if (!server.suspected)
            continue;
        const Probe& probe = probes_[server.id];
        if (!probe.under_way && now >= probe.next)
            start_probe(server);
    }
}

void FailoverPart::start_probe(const LocalServer& server) {
    probes_[server.id].under_way =
        health_check_.check(server.address, [this, id = server.id](bool connected) {
            ++probes_finished_;
            probes_failed_ += connected ? 0 : 1;
            const auto found = probes_.find(id);
            if (found == probes_.end())
                return;
            found->second = {.connected = connected,
                             .next = with_.membership.now() + kProbeInterval,
                             .finished = true,
                             .under_way = false};
        });
}

cluster::Failover::Result FailoverPart::run_failover(cluster::Time now,
                                                     const std::map<std::string, std::string>& alive) {
    cluster::Failover::Input input;
    input.now = now;
    input.unix_now = with_.clock.unix_ms();
    input.health = zone_health_;
    input.alive = &alive;
    input.reports = &with_.reports.entries();
    input.state = &with_.replicated_state.entries();
    input.weights = zone_weights_;
    input.reports_revision = with_.reports.revision();
    return failover_.tick(input);
}

void FailoverPart::tick() {
    const auto alive = with_.membership.alive_zones();
    const auto servers = observe_servers(alive);
    probe_suspected(servers);
    measure_health(servers);
    const auto now = with_.membership.now();
    apply(run_failover(now, alive), now);
    schedule_tick();
}

void FailoverPart::measure_health(const std::vector<LocalServer>& servers) {
    std::vector<cluster::ZoneServer> health;
    health.reserve(servers.size());
    for (const auto& server : servers)
        health.push_back(server.health);
    zone_health_ = cluster::measure_zone_health(health, is_drained());
}

void FailoverPart::apply(const cluster::Failover::Result& result, cluster::Time now) {
    publish_report(now, result.report);
    for (const auto& write : result.writes)
        decisions_written_ +=
            with_.replicated_state.set(cluster::decision_key(write.zone), cluster::encode(write.decision))
                ? 1
                : 0;
    for (const auto& change : result.changes)
        log_change(change);
    apply_weight_factors(result.weight_factors);
}

void FailoverPart::schedule_tick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const net::error_code& error) {
        if (!error)
            tick();
    });
}

void FailoverPart::publish_report(cluster::Time now, const std::optional<cluster::ZoneHealth>& report) {
    std::map<std::string, std::string> reports;
    if (report)
        reports.emplace(cluster::zone_subject(zone_), cluster::encode(*report));
    for (const auto& update : publisher_.tick(now, reports, no_other_reporters))
        with_.reports.publish(router_name_, update);
}

void FailoverPart::apply_weight_factors(const std::map<std::string, double>& factors) {
    if (factors == weight_factors_)
        return;
    const bool was_drained = is_drained();
    weight_factors_ = factors;
    if (was_drained && !is_drained())
        recovered_at_ = with_.clock.now();
    with_.engine.set_zone_factors(weight_factors_);
}

void FailoverPart::log_change(const cluster::Failover::Change& change) {
    with_.log.line("failover-decision",
                   R"({"zone":"%s","epoch":%llu,"out":%d,"before":%d,"to":"%s","by":"%s","flap":%s})",
                   change.zone.c_str(), static_cast<unsigned long long>(change.after.epoch),
                   change.after.percent_leaving(), change.before.percent_leaving(),
                   cluster::encode(change.after).c_str(), change.after.writer.c_str(),
                   change.flap ? "true" : "false");
}

std::string FailoverPart::status() const {
    std::string out;
    for (const auto& zone : failover_.settings().zones) {
        const auto& status = failover_.zones().at(zone.name);
        out += zone.name + " " + zone.region + " " + std::to_string(status.alive_routers) + "/" +
               std::to_string(zone.routers) + " " + health_text(status) + " " +
               std::to_string(status.decision.epoch) + " " +
               std::to_string(status.decision.percent_leaving()) + " " + targets_text(status.decision) + " " +
               override_text(status.override_by_operator) + " " + std::to_string(status.changes) + " " +
               std::to_string(status.flaps) + "\n";
    }
    return out + "--\n";
}

front::admin::CommandResult FailoverPart::set_override(const std::string& zone, const std::string& how) {
    if (!failover_.zones().contains(zone))
        return {false, "no such zone"};
    const auto key = cluster::override_key(zone);
    const bool off = how == "OFF";  // removes the override
    const auto value = how == "IN" ? cluster::FailoverOverride::in : cluster::FailoverOverride::out;
    const bool stored =
        off ? with_.replicated_state.clear(key) : with_.replicated_state.set(key, cluster::encode(value));
    with_.log.line("failover-override", R"({"zone":"%s","how":"%s","kept":%s})", zone.c_str(), how.c_str(),
                   stored ? "true" : "false");
    if (!stored)
        return {false, "in force here, but not kept for the fleet"};
    return {true, off ? "not pinned" : "pinned"};
}

FailoverPart::RemoteAttempts FailoverPart::remote_attempts() const {
    RemoteAttempts attempts;
    const auto& settings = failover_.settings();
    for (const auto& [zone, sent] : with_.engine.attempts_by_remote_zone()) {
        attempts.out_of_zone += sent;
        if (cluster::region_of(settings, zone) != cluster::region_of(settings, zone_))
            attempts.out_of_region += sent;
    }
    return attempts;
}

std::string FailoverPart::counters() {
    std::uint64_t changes = 0;
    std::uint64_t flaps = 0;
    for (const auto& [zone, status] : failover_.zones()) {
        changes += status.changes;
        flaps += status.flaps;
    }
    const RemoteAttempts remote = remote_attempts();
    const auto& own = failover_.zones().at(zone_);
    return counter_lines("failover", {{"quorum", failover_.has_quorum()},
                                      {"health", static_cast<std::uint64_t>(zone_health_.healthy)},
                                      {"warm", static_cast<std::uint64_t>(zone_health_.warm)},
                                      {"epoch", own.decision.epoch},
                                      {"out", static_cast<std::uint64_t>(own.decision.percent_leaving())},
                                      {"changes", changes},
                                      {"flaps", flaps},
                                      {"written", decisions_written_},
                                      {"sent_out_of_zone", remote.out_of_zone},
                                      {"sent_out_of_region", remote.out_of_region},
                                      {"probes", probes_finished_},
                                      {"probes_failed", probes_failed_}});
}

}  // namespace silverrail::app

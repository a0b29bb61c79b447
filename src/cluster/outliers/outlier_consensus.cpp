#include "cluster/outliers/outlier_consensus.h"

#include <algorithm>
#include <utility>

namespace silverrail::cluster {

namespace {

// Reports on the same event are spread over a time span that grows with the size of the fleet.
constexpr Time kDelayPerRouter{20};
constexpr Time kMaxDelay{5000};
constexpr std::size_t kMaxCountedRouters = 1'000;

ServerReport own_report(const ServerObservation& server) {
    if (server.leaving)
        return {ServerReport::Kind::draining, server.started_ms};
    return {};
}

std::size_t count_reports(const std::map<std::string, std::vector<ServerReport>>& peer_reports,
                          const std::string& subject, const ServerReport& report) {
    const auto found = peer_reports.find(subject);
    if (found == peer_reports.end())
        return 0;
    return static_cast<std::size_t>(std::count(found->second.begin(), found->second.end(), report));
}

}  // namespace

OutlierConsensus::OutlierConsensus(std::string router, const OutlierConsensusSettings& settings,
                                   std::uint64_t random_seed)
    : router_(std::move(router)),
      settings_(settings),
      publisher_({.refresh_interval = Time{settings.max_report_age / 3},
                  .enough_reporters = settings.enough_reporters},
                 random_seed) {}

OutlierConsensus::Result OutlierConsensus::tick(Time now, UnixMs unix_now,
                                                const std::vector<ServerObservation>& servers,
                                                const Replica::Entries& entries,
                                                const std::map<std::string, std::string>& alive) {
    Result out;
    const auto peer_reports = read_peer_reports(unix_now, entries, alive);
    out.reports = publish_own(now, servers, peer_reports, alive.size());
    out.ejected = select_ejected(servers, peer_reports);
    out.changed = out.ejected != ejected_;
    update_ejected(out.ejected);
    return out;
}

OutlierConsensus::PeerReports OutlierConsensus::read_peer_reports(
    UnixMs unix_now, const Replica::Entries& entries, const std::map<std::string, std::string>& alive) const {
    const auto is_counted = [&](const std::string& reporter) {
        return reporter != router_ && alive.contains(reporter);
    };
    PeerReports out;
    const auto reports =
        active_reports(entries, server_subject(""), unix_now, settings_.max_report_age, is_counted);
    for (const auto& [subject, by_reporter] : reports)
        for (const auto& [reporter, report] : by_reporter)
            if (const auto decoded = decode_server_report(report.value))
                out[subject].push_back(*decoded);
    return out;
}

std::vector<ReportUpdate> OutlierConsensus::publish_own(Time now,
                                                        const std::vector<ServerObservation>& servers,
                                                        const PeerReports& peer_reports,
                                                        std::size_t routers) {
    std::map<std::string, std::string> reports;
    std::map<std::string, ServerReport> by_subject;
    for (const auto& server : servers) {
        if ((!server.outlier && !server.leaving) || reports.size() >= settings_.max_own_reports)
            continue;
        const auto subject = server_subject(server.id);
        if (report_key(subject, router_).empty())
            continue;
        const auto report = own_report(server);
        by_subject.emplace(subject, report);
        reports.emplace(subject, encode(report));
    }
    const auto counted_routers = std::min(routers, kMaxCountedRouters);
    publisher_.set_max_delay(std::min(kMaxDelay, kDelayPerRouter * static_cast<Time::rep>(counted_routers)));
    auto out = publisher_.tick(now, reports, [&](const std::string& subject) {
        return count_reports(peer_reports, subject, by_subject.at(subject));
    });
    for (const auto& update : out)
        ++(update.value ? counters_.published : counters_.withdrawn);
    return out;
}

bool OutlierConsensus::has_quorum(const ServerObservation& server, const PeerReports& peer_reports) const {
    const auto subject = server_subject(server.id);
    const ServerReport outlier{};
    const ServerReport draining{ServerReport::Kind::draining, server.started_ms};
    return count_reports(peer_reports, subject, outlier) >= settings_.quorum ||
           count_reports(peer_reports, subject, draining) >= settings_.quorum;
}

// The ids of the servers that a quorum reports, except in zones beyond the panic threshold.
std::set<std::string> OutlierConsensus::select_ejected(const std::vector<ServerObservation>& servers,
                                                       const PeerReports& peer_reports) {
    struct ZoneCount {
        std::size_t servers = 0;
        std::size_t agreed = 0;
    };
    std::map<std::string, ZoneCount> by_zone;
    std::vector<const ServerObservation*> agreed;
    for (const auto& server : servers) {
        if (server.leaving)
            continue;
        auto& zone = by_zone[server.zone];
        ++zone.servers;
        // A server that this router itself excludes is left to its own outlier detection.
        if (server.outlier || !has_quorum(server, peer_reports))
            continue;
        ++zone.agreed;
        agreed.push_back(&server);
    }
    std::set<std::string> panicking;
    for (const auto& [zone, count] : by_zone)
        if (static_cast<double>(count.agreed) >
            settings_.max_ejected_share * static_cast<double>(count.servers))
            panicking.insert(zone);
    update_panicking_zones(std::move(panicking));
    std::set<std::string> out;
    for (const auto* server : agreed)
        if (!panicking_zones_.contains(server->zone))
            out.insert(server->id);
    return out;
}

void OutlierConsensus::update_panicking_zones(std::set<std::string> zones) {
    for (const auto& zone : zones)
        counters_.panics += panicking_zones_.contains(zone) ? 0 : 1;
    panicking_zones_ = std::move(zones);
}

void OutlierConsensus::update_ejected(const std::set<std::string>& ejected) {
    for (const auto& id : ejected)
        counters_.ejected += ejected_.contains(id) ? 0 : 1;
    for (const auto& id : ejected_)
        counters_.restored += ejected.contains(id) ? 0 : 1;
    ejected_ = ejected;
}

}  // namespace silverrail::cluster

// Outlier detection shared by the fleet: a server that a quorum of other routers reports as an outlier or as
// draining is ejected by this router too, before it has detected the problem itself.
//
// A state machine without I/O, clocks or threads. Its rules (docs/design/replication.md has the reasons):
// - The report of a single router ejects no server. It takes a quorum of independent reporters that are
//   alive, with reports no older than `max_report_age`.
// - A router that reports a server relies on its own detection for it: it continues its trial requests, and
//   withdraws its report when one succeeds.
// - If reports would eject more than `max_ejected_share` of a zone's servers, they eject none of them (the
//   panic threshold): that many at once are either a failure of the zone, which failover handles, or an error
//   of the reporters.
// - A draining report holds only for the process that drains. A server with another start is another process.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/outliers/server_report.h"
#include "cluster/reports/report_publisher.h"

namespace silverrail::cluster {

// The state of a server as this router sees it.
struct ServerObservation {
    std::string id;
    std::string zone;
    std::int64_t started_ms = 0;  // Unix ms as in the server list; 0: long ago
    bool outlier = false;         // excluded by this router: it failed, or is slower than comparable servers
    bool leaving = false;         // in the server list as draining or gone
};

struct OutlierConsensusSettings {
    UnixMs max_report_age = 10'000;  // reports are refreshed after a third of it
    std::size_t quorum = 2;
    std::size_t enough_reporters = 4;  // a router adds no report if so many others report the same
    double max_ejected_share = 0.5;
    std::size_t max_own_reports = 512;
};

struct OutlierConsensusCounters {
    std::uint64_t published = 0;
    std::uint64_t withdrawn = 0;
    std::uint64_t ejected = 0;
    std::uint64_t restored = 0;
    std::uint64_t panics = 0;
};

class OutlierConsensus {
public:
    OutlierConsensus(std::string router, const OutlierConsensusSettings& settings, std::uint64_t random_seed);

    struct Result {
        std::vector<ReportUpdate> reports;  // to write under report_key(subject, this router)
        std::set<std::string> ejected;      // ids of the servers ejected because of other routers' reports
        bool changed = false;               // `ejected` differs from that of the previous tick
    };
    // `alive`: the zones of the alive members, by member name. Only the names are used.
    Result tick(Time now, UnixMs unix_now, const std::vector<ServerObservation>& servers,
                const Replica::Entries& entries, const std::map<std::string, std::string>& alive);

    const OutlierConsensusCounters& counters() const {
        return counters_;
    }
    std::size_t ejected_count() const {
        return ejected_.size();
    }

private:
    // By subject: the reports of the other routers.
    using PeerReports = std::map<std::string, std::vector<ServerReport>>;

    PeerReports read_peer_reports(UnixMs unix_now, const Replica::Entries& entries,
                                  const std::map<std::string, std::string>& alive) const;
    std::vector<ReportUpdate> publish_own(Time now, const std::vector<ServerObservation>& servers,
                                          const PeerReports& peer_reports, std::size_t routers);
    bool has_quorum(const ServerObservation& server, const PeerReports& peer_reports) const;
    std::set<std::string> select_ejected(const std::vector<ServerObservation>& servers,
                                         const PeerReports& peer_reports);
    void update_panicking_zones(std::set<std::string> zones);
    void update_ejected(const std::set<std::string>& ejected);

    std::string router_;
    OutlierConsensusSettings settings_;
    ReportPublisher publisher_;
    std::set<std::string> ejected_;
    std::set<std::string> panicking_zones_;  // beyond the panic threshold
    OutlierConsensusCounters counters_;
};

}  // namespace silverrail::cluster

// Outlier detection shared by the fleet: a server that enough other routers report as an outlier or as
// draining is ejected here too, before this router has found out by itself.
//
// A state machine without I/O, clocks or threads. Rules (docs/design/replication.md has the reasons):
// - One router's report ejects nobody: it takes a quorum of independent reporters that are alive, with
// reports
//   within the age limit.
// - A router that reports a server judges it by itself: it goes on with its trials, and withdraws its report
//   when one succeeds.
// - Where more than `max_ejected_share` of a zone's servers would be ejected by reports, none of them is (the
//   panic threshold): that many at once is the zone's affair (failover), or the reporters' own fault.
// - A draining report holds only for the process that drains: a server with another start is another process.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/outliers/server_report.h"
#include "cluster/reports/report_publisher.h"

namespace silverrail::cluster {

// A server as this router sees it.
struct ServerObservation {
    std::string id;
    std::string zone;
    std::int64_t started_ms = 0;  // Unix ms as listed; 0: long ago
    bool outlier = false;         // kept away from here: it failed, or is slow against its like
    bool leaving = false;         // listed as draining or gone
};

struct OutlierConsensusSettings {
    UnixMs max_report_age = 10'000;  // published again each third of it
    std::size_t quorum = 2;
    std::size_t enough_reporters = 4;  // of a server; further ones add nothing
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
        std::vector<ReportUpdate> reports;  // to be written under report_key(subject, this router)
        std::set<std::string> ejected;      // ids of the servers ejected on the reports of others
        bool changed = false;               // not the same ids as in the result before
    };
    // `alive`: zones of the members alive, by name; only the names count.
    Result tick(Time now, UnixMs unix_now, const std::vector<ServerObservation>& servers,
                const Replica::Entries& entries, const std::map<std::string, std::string>& alive);

    const OutlierConsensusCounters& counters() const {
        return counters_;
    }
    std::size_t ejected_count() const {
        return ejected_.size();
    }

private:
    // By subject: what each other router reports.
    using PeerReports = std::map<std::string, std::vector<ServerReport>>;

    PeerReports read_peer_reports(UnixMs unix_now, const Replica::Entries& entries,
                                  const std::map<std::string, std::string>& alive) const;
    std::vector<ReportUpdate> publish_own(Time now, const std::vector<ServerObservation>& servers,
                                          const PeerReports& peer_reports, std::size_t routers);
    bool has_quorum(const ServerObservation& server, const PeerReports& peer_reports) const;
    std::set<std::string> agreed_outliers(const std::vector<ServerObservation>& servers,
                                          const PeerReports& peer_reports);
    void note_panics(std::set<std::string> zones);
    void note_ejected(const std::set<std::string>& ejected);

    std::string router_;
    OutlierConsensusSettings settings_;
    ReportPublisher publisher_;
    std::set<std::string> ejected_;
    std::set<std::string> panicking_zones_;  // of which nothing is ejected by reports now
    OutlierConsensusCounters counters_;
};

}  // namespace silverrail::cluster

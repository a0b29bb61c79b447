// The operator's file (deploy/silverrail.json): the optional subsystems. JSON with comments, a section for
// each subsystem; an absent section leaves it off. Fields have the names of the keys unless their comment
// gives another; `docs/settings.md` lists the keys.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cluster/failover/failover_settings.h"
#include "config/config_error.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

struct DnsSettings {
    std::string udp;  // ADDRESS:PORT to listen at; empty: off
    std::string tcp;
    std::string tls;
    std::string zone;
    std::string server;          // the name server's name, inside the zone
    std::string server_address;  // its address, for its own A or AAAA record
    std::string mailbox;         // of the zone's SOA record
    std::uint32_t ttl_s = 1;
    routing::Span deadline = std::chrono::seconds{1};
    bool on() const {
        return !udp.empty() || !tcp.empty() || !tls.empty();
    }
    bool operator==(const DnsSettings&) const = default;
};

struct AcmeSettings {
    std::string directory;  // URL; empty: off
    std::string contact;    // mailto:...; may be empty
    std::string folder;     // of the stored keys and certificate; empty: they are lost at the program's end
    std::string trust;      // file of CA certificates for the authority's own; empty: the system's
    bool on() const {
        return !directory.empty();
    }
    bool operator==(const AcmeSettings&) const = default;
};

// A folder and no flight_mb: records are written all the time. Both: the flight recorder dumps there.
struct TraceSettings {
    std::string folder;           // empty: off
    std::int64_t most_mb = 1024;  // of all files in the folder together
    std::int64_t file_mb = 64;
    std::int64_t file_minutes = 60;
    std::int64_t flush_ms = 2000;
    std::int64_t queue_kb = 4096;
    std::int64_t flight_mb = 0;  // above 0: only the newest records are retained, in memory, until a dump
    double dump_at_failed_share = 0;
    std::int64_t dump_window_s = 10;
    std::int64_t dump_min_responses = 50;
    std::int64_t dump_hold_off_s = 600;
    bool leave_out_clients = false;
    bool leave_out_tags = false;
    bool on() const {
        return !folder.empty();
    }
    bool operator==(const TraceSettings&) const = default;
};

// Cluster membership (docs/operating.md).
struct PeersSettings {
    std::string name;  // this member's, unique in the cluster
    std::string zone;
    std::string region;
    std::string bind;       // ADDRESS:PORT, for datagrams and streams alike; empty: off
    std::string advertise;  // where the others reach it; empty: the bind address
    std::vector<std::string> seeds;
    std::int64_t probe_ms = 1000;
    std::int64_t probe_timeout_ms = 500;
    std::int64_t push_pull_ms = 30'000;
    std::int64_t dead_keep_ms = 60'000;
    std::int64_t indirect = 3;
    double suspicion_mult = 4;
    double suspicion_max_mult = 6;
    std::int64_t replica_ms = 1000;
    std::int64_t tombstone_keep_ms = 86'400'000;
    // Key hearsay_ms: the lifetime of other members' reports on servers; 0: none are shared.
    std::int64_t report_lifetime_ms = 10'000;
    cluster::FailoverSettings failover;  // no zones: off
    bool on() const {
        return !bind.empty();
    }
    bool operator==(const PeersSettings&) const = default;
};

struct OperatorSettings {
    PeersSettings peers;
    DnsSettings dns;
    AcmeSettings acme;
    TraceSettings trace;
};

// Settings, good only if there are no problems.
struct CheckedOperatorSettings {
    OperatorSettings settings;
    std::vector<ConfigProblem> problems;
};

CheckedOperatorSettings parse_operator(const Json::Value& root);

// Reads a file. One that is absent leaves everything off, unless `must_exist`. Throws std::system_error if
// the file cannot be read for a reason that may pass.
CheckedOperatorSettings load_operator(const std::string& path, bool must_exist);

// The names of the sections that differ.
std::vector<const char*> changed_sections(const OperatorSettings& a, const OperatorSettings& b);

}  // namespace silverrail::config

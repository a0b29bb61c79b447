// The operator's file (deploy/silverrail.json): settings of the optional subsystems. It is JSON with comments
// and has one section per subsystem; a subsystem without a section is off. Fields have the names of their
// keys unless a comment gives the key; `docs/settings.md` lists the keys.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cluster/failover/failover_settings.h"
#include "config/config_error.h"
#include "silverrail/routing/router.h"

namespace silverrail::config {

struct DnsSettings {
    std::string udp;  // ADDRESS:PORT to listen on; empty: off
    std::string tcp;
    std::string tls;
    std::string zone;
    std::string server;          // host name of the name server, inside the zone
    std::string server_address;  // IP address of the name server, for its A or AAAA record
    std::string mailbox;         // RNAME of the zone's SOA record
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
    std::string folder;     // for keys and the certificate; empty: they are kept in memory only
    std::string trust;      // path of the CA certificates that verify the ACME server; empty: the system's
    bool on() const {
        return !directory.empty();
    }
    bool operator==(const AcmeSettings&) const = default;
};

// With a folder and without flight_mb, records are written continuously. With both, records are kept in
// memory by the flight recorder, which dumps them to the folder.
struct TraceSettings {
    std::string folder;           // empty: off
    std::int64_t most_mb = 1024;  // limit for all files in the folder together
    std::int64_t file_mb = 64;
    std::int64_t file_minutes = 60;
    std::int64_t flush_ms = 2000;
    std::int64_t queue_kb = 4096;
    std::int64_t flight_mb = 0;  // above 0: memory of the flight recorder, which keeps the newest records
    double dump_at_failed_share = 0;
    std::int64_t dump_window_s = 10;
    std::int64_t dump_min_responses = 50;  // key dump.least_answers
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
    std::string name;  // of this member, unique in the cluster
    std::string zone;
    std::string region;
    std::string bind;       // ADDRESS:PORT, for both UDP and TCP; empty: off
    std::string advertise;  // address that other members connect to; empty: the bind address
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
    // Key hearsay_ms: lifetime of reports on servers from other members; 0: reports are not shared.
    std::int64_t report_lifetime_ms = 10'000;
    cluster::FailoverSettings failover;  // off if it has no zones
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

// The settings are valid only if there are no problems.
struct CheckedOperatorSettings {
    OperatorSettings settings;
    std::vector<ConfigProblem> problems;
};

CheckedOperatorSettings parse_operator(const Json::Value& root);

// Reads a settings file. If the file is absent, all subsystems are off, or a problem is reported if
// `must_exist`. Throws std::system_error if the file cannot be read because of a transient error.
CheckedOperatorSettings load_operator(const std::string& path, bool must_exist);

// Returns the names of the sections that differ.
std::vector<const char*> changed_sections(const OperatorSettings& a, const OperatorSettings& b);

}  // namespace silverrail::config

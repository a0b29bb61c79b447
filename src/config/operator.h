// The operator's own file (deploy/silverrail.json): what is on besides the platform's protocol. JSON with
// comments, a section for each part; a section that is absent leaves its part off. `docs/settings.md` lists
// it.
#pragma once

#include "cluster/failover/failover_settings.h"
#include "config/config.h"

namespace silverrail::config {

struct DnsSettings {
    std::string udp;  // address:port; empty: off
    std::string tcp;
    std::string tls;
    std::string zone;
    std::string server;          // the name server's name, inside the zone
    std::string server_address;  // its address, for its own A or AAAA
    std::string mailbox;
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
    std::string folder;     // where keys and certificate are kept; empty: nowhere, they end with the program
    std::string
        trust;  // file of the certificates that the authority's own may be signed by; empty: the system's
    bool on() const {
        return !directory.empty();
    }
    bool operator==(const AcmeSettings&) const = default;
};

// Both a folder and flight_mb: the flight recorder's dumps go there. Neither: off.
struct TraceSettings {
    std::string folder;
    std::int64_t most_mb = 1024;  // of all files in it together
    std::int64_t file_mb = 64;
    std::int64_t file_minutes = 60;
    std::int64_t flush_ms = 2000;
    std::int64_t queue_kb = 4096;
    std::int64_t flight_mb = 0;  // above 0: only the newest are kept, in memory, until they are asked for
    double dump_at_failed_share = 0;
    std::int64_t dump_window_s = 10;
    std::int64_t dump_least_answers = 50;
    std::int64_t dump_hold_off_s = 600;
    bool leave_out_clients = false;
    bool leave_out_tags = false;
    bool on() const {
        return !folder.empty();
    }
    bool operator==(const TraceSettings&) const = default;
};

// The fleet's view (docs/operating.md). No bind: off, and nothing of it listens or talks.
struct PeersSettings {
    std::string name;  // this member's, unique in the fleet
    std::string zone;
    std::string region;
    std::string bind;       // a.b.c.d:port, datagrams and stream alike
    std::string advertise;  // where others reach it; empty: the bind address
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
    std::int64_t hearsay_ms =
        10'000;  // what others learned of servers counts for so long; 0: nothing is shared
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

// The sections in which they differ.
std::vector<const char*> changed_sections(const OperatorSettings& a, const OperatorSettings& b);

// All that is wrong is added to `problems`, each with its path; what is returned is good only if there is
// none.
OperatorSettings parse_operator(const Json::Value& root, std::vector<std::string>& problems);
// The same from a file. One that is absent, where `must_exist` is not set, leaves all off.
OperatorSettings load_operator(const std::string& path, bool must_exist, std::vector<std::string>& problems);

}  // namespace silverrail::config

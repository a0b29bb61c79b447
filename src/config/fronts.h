// The file that says where the DNS front listens and how it gets its certificate (deploy/fronts.json).
#pragma once

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
    winchflow::Span deadline = std::chrono::seconds{1};
    bool on() const { return !udp.empty() || !tcp.empty() || !tls.empty(); }
};

struct AcmeSettings {
    std::string directory;  // URL; empty: off
    std::string contact;    // mailto:...; may be empty
    std::string folder;     // where keys and certificate are kept; empty: nowhere, they end with the program
    std::string
        trust;  // file of the certificates that the authority's own may be signed by; empty: the system's
    bool on() const { return !directory.empty(); }
};

struct Fronts {
    DnsSettings dns;
    AcmeSettings acme;
};

Fronts parse_fronts(const Json::Value& root);  // throws ConfigError
Fronts load_fronts(const std::string& path);   // a file that is absent: all off

}  // namespace silverrail::config

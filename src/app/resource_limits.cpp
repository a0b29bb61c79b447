#include "app/resource_limits.h"

#include <algorithm>
#include <cctype>

#include "net/dns_server.h"

namespace silverrail::app {

namespace {

constexpr std::size_t kBytesPerMegabyte = 1024UL * 1024;
constexpr std::size_t kDnsListeners = 3;  // UDP, TCP and TLS

}  // namespace

limits::RouterLimits total_resources(const config::Config& config, const config::OperatorSettings& settings) {
    return {.descriptors = config.sockets,
            .memory_bytes = config.memory_mb * kBytesPerMegabyte,
            .control_address = !config.control.empty(),
            .part_descriptors = settings.dns.on() ? net::DnsServerLimits{}.connections + kDnsListeners : 0};
}

net::ConnectionPoolLimits pool_limits(const config::Config& config, const limits::ProcessQuota& quota) {
    net::ConnectionPoolLimits limits;
    limits.connections = quota.server_connections;
    if (config.connect_timeout > routing::Span{})
        limits.connect_timeout = config.connect_timeout;
    // Well before the server closes it: a request sent on a connection that is closing would be lost.
    if (config.conn_idle > routing::Span{})
        limits.idle_timeout = config.conn_idle * 2 / 3;
    return limits;
}

// With a control address an operator can check a new process beside the old one, so both may listen.
net::Port port_sharing(const config::Config& config) {
    return config.control.empty() ? net::Port::exclusive : net::Port::shared;
}

net::HttpLimits client_limits(const config::Config& config, const limits::ProcessQuota& quota) {
    net::HttpLimits limits;
    limits.connections = quota.client_connections;
    limits.port = port_sharing(config);
    return limits;
}

cache::CacheLimits cache_limits(const config::Config& config, const limits::ProcessQuota& quota) {
    return {.bytes = quota.cache_bytes,
            .uplink = {.per_response_bytes_per_s = config.flow_bytes_per_s,
                       .total_bytes_per_s = config.link_bytes_per_s}};
}

std::string shared_file_path(const std::string& folder, const std::string& clients_address,
                             const std::string& extension) {
    if (folder.empty())
        return {};
    std::string name = clients_address;
    std::replace_if(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0; }, '-');
    return folder + "/silverrail-" + name + "." + extension;
}

}  // namespace silverrail::app

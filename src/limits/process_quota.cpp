#include "limits/process_quota.h"

#include <algorithm>

namespace silverrail::limits {

namespace {
// Clients have a third of the descriptors at most, and some more for connections that are about to be closed.
constexpr std::size_t kClientsPart = 3;
constexpr std::size_t kClosingConnections = 24;
// Of the descriptors left, where these are few: each client that
// sends a request needs a connection to a server.
constexpr std::size_t kClientsPercentOfLeft = 60;
// The least that still serves, whatever the limits say.
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kControlPart = 32;
constexpr std::size_t kMinControlConnections = 4;
constexpr std::size_t kMaxControlConnections = 16;
// Of the memory: small routers need the rest for the responses in flight (docs/capacity.md, Core).
constexpr std::size_t kCachePart = 8;

// The descriptors of a process that are neither for clients nor for servers.
std::size_t reserved_descriptors(const RouterLimits& limits, std::size_t control_connections) {
    // One more for a connection that is just being accepted.
    const std::size_t control = limits.control_address ? control_connections + 1 : 0;
    return kFixedDescriptors + limits.part_descriptors + control;
}
}  // namespace

ProcessQuota quota_of(const RouterLimits& limits, std::size_t processes) {
    processes = std::max<std::size_t>(1, processes);
    const std::size_t descriptors = limits.descriptors / processes;
    ProcessQuota quota;
    if (limits.control_address)
        quota.control_connections =
            std::clamp(descriptors / kControlPart, kMinControlConnections, kMaxControlConnections);
    const std::size_t reserved = reserved_descriptors(limits, quota.control_connections);
    const std::size_t left = descriptors > reserved ? descriptors - reserved : 0;
    const std::size_t clients = std::min(descriptors / kClientsPart + kClosingConnections / processes,
                                         left * kClientsPercentOfLeft / 100);
    quota.client_connections = std::max(kMinConnections, clients);
    quota.server_connections = std::max(kMinConnections, left - std::min(left, quota.client_connections));
    quota.cache_bytes = limits.memory_bytes / kCachePart / processes;
    return quota;
}

}  // namespace silverrail::limits

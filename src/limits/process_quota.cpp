#include "limits/process_quota.h"

#include <algorithm>

namespace silverrail::limits {

namespace {
// Client connections may use up to a third of the descriptors, plus an allowance for connections being
// closed.
constexpr std::size_t kClientsDivisor = 3;
constexpr std::size_t kClosingConnections = 24;
// Upper limit on their share of the unreserved descriptors. It takes effect when there are few: each client
// that sends a request also needs a connection to a server.
constexpr std::size_t kClientsPercentOfLeft = 60;
// The minimum with which a router can operate, regardless of the limits.
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kControlDivisor = 32;
constexpr std::size_t kMinControlConnections = 4;
constexpr std::size_t kMaxControlConnections = 16;
// 1/8 of the memory is for the response cache; small routers need the rest for responses in flight
// (docs/capacity.md, Core).
constexpr std::size_t kCacheDivisor = 8;
// Resident memory stays under nine tenths of the limit; the rest of this is for what is used between two
// measurements.
constexpr std::size_t kMemoryPercent = 85;
// With a control address, a second process may be started at any time; this is what it takes at its start.
constexpr std::size_t kSuccessorBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxSuccessorPercent = 25;
// A client's connection with an incomplete request, twice over.
constexpr std::size_t kBytesPerClient = 40UL * 1024;

// Descriptors of a process that are not available for connections to clients and servers.
std::size_t reserved_descriptors(const RouterLimits& limits, std::size_t control_connections) {
    // Plus one for a connection that is being accepted.
    const std::size_t control = limits.control_address ? control_connections + 1 : 0;
    return kFixedDescriptors + limits.part_descriptors + control;
}

std::size_t memory_of(const RouterLimits& limits, std::size_t processes) {
    const std::size_t usable = limits.memory_bytes / 100 * kMemoryPercent;
    if (processes > 1 || !limits.control_address)
        return usable / processes;
    return usable - std::min(kSuccessorBytes, limits.memory_bytes / 100 * kMaxSuccessorPercent);
}
}  // namespace

ProcessQuota quota_of(const RouterLimits& limits, std::size_t processes) {
    processes = std::max<std::size_t>(1, processes);
    const std::size_t descriptors = limits.descriptors / processes;
    ProcessQuota quota;
    if (limits.control_address)
        quota.control_connections =
            std::clamp(descriptors / kControlDivisor, kMinControlConnections, kMaxControlConnections);
    const std::size_t reserved = reserved_descriptors(limits, quota.control_connections);
    const std::size_t left = descriptors > reserved ? descriptors - reserved : 0;
    const std::size_t clients = std::min(descriptors / kClientsDivisor + kClosingConnections / processes,
                                         left * kClientsPercentOfLeft / 100);
    quota.memory_bytes = memory_of(limits, processes);
    const std::size_t clients_in_memory =
        limits.memory_bytes == 0 ? clients : limits.memory_bytes / processes / kBytesPerClient;
    quota.client_connections = std::max(kMinConnections, std::min(clients, clients_in_memory));
    quota.server_connections = std::max(kMinConnections, left - std::min(left, quota.client_connections));
    quota.cache_bytes = limits.memory_bytes / kCacheDivisor / processes;
    return quota;
}

}  // namespace silverrail::limits

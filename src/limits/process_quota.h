// Resource quota of a process. During an upgrade, two processes run as one router and share the limits of
// one. Reads no clock and does no I/O.
#pragma once

#include <cstddef>

namespace silverrail::limits {

struct RouterLimits {
    std::size_t descriptors = 1024;
    std::size_t memory_bytes = 0;      // 0: unknown
    bool control_address = false;      // whether the router listens on a control address
    std::size_t part_descriptors = 0;  // needed by optional components, in each process
};

struct ProcessQuota {
    std::size_t client_connections = 0;
    std::size_t server_connections = 0;
    std::size_t control_connections = 0;  // at the control address
    std::size_t memory_bytes = 0;         // of resident memory; 0: unknown
    std::size_t cache_bytes = 0;          // of it, for the response cache
};

// `processes`: the number of processes that run as this router, including this one.
ProcessQuota quota_of(const RouterLimits& limits, std::size_t processes);

// Other descriptors of a process: standard streams, event loop, listeners, discovery (two while its address
// changes) and files that are open briefly.
inline constexpr std::size_t kFixedDescriptors = 16;

}  // namespace silverrail::limits

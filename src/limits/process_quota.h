// What one of the processes that count as one router may use. During an upgrade there are two of them, and
// the limits are those of one router. Numbers only: no I/O, no clock.
#pragma once

#include <cstddef>

namespace silverrail::limits {

struct RouterLimits {
    std::size_t descriptors = 1024;
    std::size_t memory_bytes = 0;      // 0: not known
    bool control_address = false;      // a second address is open
    std::size_t part_descriptors = 0;  // of optional parts, in each process
};

struct ProcessQuota {
    std::size_t client_connections = 0;
    std::size_t server_connections = 0;
    std::size_t control_connections = 0;  // at the second address
    std::size_t cache_bytes = 0;          // for the response cache
};

// `processes`: how many count as the one router, this one among them.
ProcessQuota quota_of(const RouterLimits& limits, std::size_t processes);

// Descriptors that a process needs besides: standard streams, the event loop's, listeners, discovery (two
// while its address changes), files that are open for a moment.
inline constexpr std::size_t kFixedDescriptors = 16;

}  // namespace silverrail::limits

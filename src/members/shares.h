// What one of the processes that count as one router may hold. During an upgrade there are two of them, and
// the limits are those of one. Numbers only: no I/O, no clock.
#pragma once

#include <cstddef>

namespace silverrail::members {

struct Whole {
    std::size_t sockets = 1024;    // descriptors of the router
    std::size_t memory_bytes = 0;  // 0: not told
    bool control = false;          // a second address is open
    std::size_t others = 0;        // descriptors of optional parts, in each process
};

struct Shares {
    std::size_t clients = 0;       // connections of clients
    std::size_t servers = 0;       // connections to servers
    std::size_t callers = 0;       // connections at the second address
    std::size_t copies_bytes = 0;  // for copies of the router's own
};

// `processes`: how many count as the one router, this one among them.
Shares shares_of(const Whole& whole, std::size_t processes);

// Descriptors that a process needs besides: standard streams, the event loop's, listeners, discovery (two
// while it moves), files that are open for a moment.
inline constexpr std::size_t kFixed = 16;

}  // namespace silverrail::members

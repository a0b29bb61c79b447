// Which client connections are closed first when they run short: one decision, without I/O.
#pragma once

#include <chrono>
#include <optional>

namespace silverrail::limits {

struct ConnectionActivity {
    enum class Phase {
        awaiting_request,
        answering,
        closing  // after its last answer
    };
    Phase phase = Phase::awaiting_request;
    bool has_sent_request = false;         // a complete one, earlier
    bool request_begun = false;            // part of the request that is awaited has come
    std::chrono::milliseconds idle_for{};  // since it was opened or answered, or since a byte came
};

// In the order of eviction; within a class, the connection that is idle for longest goes first.
enum class EvictionPriority {
    closing,
    silent,    // no request since it connected
    stalled,   // part of a request has come, and then nothing
    idle,      // kept alive after an answer
    newcomer,  // it connected just now
};

// Absent: the connection is never evicted, as it has a request in flight.
std::optional<EvictionPriority> eviction_priority(const ConnectionActivity& activity);

}  // namespace silverrail::limits

// Decides which client connections are closed first when the limit on connections is reached. No I/O.
#pragma once

#include <chrono>
#include <optional>

namespace silverrail::limits {

struct ConnectionActivity {
    enum class Phase {
        awaiting_request,
        answering,
        closing  // its last response has been sent
    };
    Phase phase = Phase::awaiting_request;
    bool has_sent_request = false;         // a complete request, earlier on the connection
    bool request_begun = false;            // part of the next request has been received
    std::chrono::milliseconds idle_for{};  // since it was opened, a response was sent or a byte was received
};

// In the order of eviction. Within one value, the connection that has been idle for longest is evicted first.
enum class EvictionPriority {
    closing,
    silent,    // connected, but has never sent a byte of a request
    stalled,   // part of a request was received, but nothing more since
    idle,      // kept alive after a response
    newcomer,  // connected just now
};

// Absent: the connection must not be evicted, as a request is in progress.
std::optional<EvictionPriority> eviction_priority(const ConnectionActivity& activity);

}  // namespace silverrail::limits

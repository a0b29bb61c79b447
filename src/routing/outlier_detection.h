// Outlier detection: servers that fail are ejected with exponential backoff and readmitted through single
// trial requests (half-open). A server that is slow compared to its peers also gets one request at a time.
#pragma once

#include "routing/open_request.h"
#include "routing/random.h"
#include "routing/server_table.h"

namespace silverrail::routing {

class OutlierDetector {
public:
    // Weighted sum of consecutive failures that ejects a server.
    static constexpr int kFailuresToEject = 4;
    // Weight of a refused connection or a missing response.
    static constexpr int kNoResponseWeight = 2;

    // Both must outlive the detector.
    OutlierDetector(const ServerTable& servers, Random& random) : servers_(servers), random_(random) {}

    // True if the server is ejected or slow and gets one request at a time.
    bool is_on_trial(const ServerState& server) const;

    // True if a request may be sent to the server now.
    bool admits(const ServerState& server, Time now) const;

    // Records a failure, which ejects the server only if `may_eject` is set.
    void record_failure(ServerState& server, bool may_eject, int weight, Time now);

    // Records a missing response. It ejects the server only if other servers have responded since the
    // request was sent: if all are slow, none of them is an outlier.
    void record_unresponsive(ServerState& server, Time sent_at, Time now);

    // Records a response, which shows that the server is alive. `sent_at` is the time its request was sent.
    void record_alive(ServerState& server, Time now, Time sent_at = Time::max());

    // Evaluates the outcome of an attempt for its target.
    void record_attempt(ServerState& target, const Attempt& attempt, AttemptStatus status, Time now);

    // `relative_latency` is the latency of a response divided by its objective.
    static void record_latency(ServerState& server, double relative_latency);

private:
    bool is_slow(const ServerState& server) const;
    void eject(ServerState& server, Time now);

    const ServerTable& servers_;
    Random& random_;
};

}  // namespace silverrail::routing

// Outlier detection: servers that fail are ejected for a while, with exponential backoff, and come back
// through single trial requests (half-open). A server that is slow against its peers also gets single
// requests.
#pragma once

#include "routing/open_request.h"
#include "routing/random.h"
#include "routing/server_table.h"

namespace silverrail::routing {

class OutlierDetector {
public:
    // Weighted failures in a row that eject a server.
    static constexpr int kFailuresToEject = 4;
    // Weight of a refused connection, or of silence.
    static constexpr int kNoAnswerWeight = 2;

    // Both must outlive the detector.
    OutlierDetector(const ServerTable& servers, Random& random) : servers_(servers), random_(random) {}

    // Is the server ejected or slow, so that it gets one request at a time?
    bool is_on_trial(const ServerState& server) const;

    // May a request be sent to the server now?
    bool admits(const ServerState& server, Time now) const;

    // Counts a failure. It ejects the server only with `may_eject`.
    void record_failure(ServerState& server, bool may_eject, int weight, Time now);

    // Counts silence. It ejects the server only if others have answered since the request was sent: when all
    // are slow, none of them is an outlier.
    void record_silence(ServerState& server, Time sent_at, Time now);

    // The server has given proof of life. `sent_at`: when the request that it answered was sent.
    void record_life(ServerState& server, Time now, Time sent_at = Time::max());

    // What the end of an attempt says of its target.
    void record_attempt(ServerState& target, const Attempt& attempt, AttemptStatus status, Time now);

    // `relative_latency`: the latency of an answer over its objective.
    static void record_latency(ServerState& server, double relative_latency);

private:
    bool is_slow(const ServerState& server) const;
    void eject(ServerState& server, Time now);

    const ServerTable& servers_;
    Random& random_;
};

}  // namespace silverrail::routing

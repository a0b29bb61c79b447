// What the engine's stages share. It has no decisions of its own.
#pragma once

#include "core/active_request.h"
#include "core/counters.h"
#include "core/guard.h"
#include "core/observer.h"
#include "core/purges.h"
#include "core/server_registry.h"
#include "core/unix_time.h"
#include "log/log.h"

namespace silverrail::core {

struct EngineState {
    EngineState(routing::Settings settings, const Clock& clock, Timers& timers, AttemptSender& sender,
                Log& log);

    // Both clocks are read now; `now` is the monotonic one's reading.
    const UnixTime& read_unix_time(Time now);
    // Absent: null.
    ActiveRequest* find(RequestId id);
    ActiveAttempt* find(const AttemptKey& key);
    // Logs one line: the request, its attempts, its state and how its last attempt ended.
    void log_request(const char* event, const ActiveRequest& request) const;

    const routing::Settings settings;
    const Clock& clock;
    Timers& timers;
    AttemptSender& sender;
    Log& log;
    Counters counters;
    ServerRegistry servers;
    Purges purges;
    UnixTime unix_time;
    ActiveRequests requests;
    Guard guard;
    Observer* observer = nullptr;
};

}  // namespace silverrail::core

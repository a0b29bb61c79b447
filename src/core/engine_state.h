// State shared by the engine's stages. Makes no decisions.
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

    // Reads the wall clock. `now`: the monotonic clock, read at the same moment.
    const UnixTime& read_unix_time(Time now);
    // Null: not open, or no such attempt.
    ActiveRequest* find(RequestId id);
    ActiveAttempt* find(const AttemptKey& key);
    // Logs the request, its number of attempts, its state and the status of its last attempt.
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

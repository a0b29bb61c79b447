// State shared by the engine's stages. Makes no decisions.
#pragma once

#include "core/active_request.h"
#include "core/counters.h"
#include "core/executed_requests.h"
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
    // Whether a second run of the request must be prevented, also after its end.
    bool is_tracked(const std::string& trace_id, std::size_t class_index) const;
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
    ExecutedRequests* executed_requests = nullptr;  // null: ids are not remembered
};

}  // namespace silverrail::core

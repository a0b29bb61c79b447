#include "core/engine_state.h"

#include <utility>

namespace silverrail::core {

namespace {

// Purges are received, and copies cleared, slightly later than the settings promise.
constexpr Span kPurgeMargin = std::chrono::seconds{1};

Span purges_cleared_after(const routing::Settings& settings) {
    return settings.purge_complete_within + settings.purge_effective_within + kPurgeMargin;
}

}  // namespace

EngineState::EngineState(routing::Settings initial_settings, const Clock& a_clock, Timers& some_timers,
                         AttemptSender& a_sender, Log& a_log)
    : settings(std::move(initial_settings)),
      clock(a_clock),
      timers(some_timers),
      sender(a_sender),
      log(a_log),
      servers(settings),
      purges(purges_cleared_after(settings), longest_client_timeout(settings)),
      guard(settings) {
    for (const auto& request_class : settings.classes)
        counters.classes.push_back({.name = request_class.name});
}

const UnixTime& EngineState::read_unix_time(Time now) {
    unix_time.read(now, clock.unix_ms());
    return unix_time;
}

ActiveRequest* EngineState::find(RequestId id) {
    const auto found = requests.find(id);
    return found == requests.end() ? nullptr : &found->second;
}

ActiveAttempt* EngineState::find(const AttemptKey& key) {
    ActiveRequest* request = find(key.request);
    return request && key.attempt < request->attempts.size() ? &request->attempts[key.attempt] : nullptr;
}

bool EngineState::is_tracked(const std::string& trace_id, std::size_t class_index) const {
    return executed_requests && !trace_id.empty() &&
           settings.classes[class_index].idempotency != routing::Idempotency::idempotent;
}

void EngineState::log_request(const char* event, const ActiveRequest& request) const {
    const auto request_state = guard.state(request.id);
    log.line(event, "%s %s: %zu attempts, state %s, last attempt %s",
             request.client_request->trace_id.c_str(), request.client_request->class_name.c_str(),
             request.attempts.size(), request_state ? std::string{name_of(*request_state)}.c_str() : "closed",
             request.last_attempt_status ? Counters::name_of(*request.last_attempt_status) : "none");
}

}  // namespace silverrail::core

// Read-only observers of the core, such as the trace recorder.
#pragma once

#include <vector>

#include "core/active_request.h"
#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::core {

// What caused an event for the decision module. Null: not this.
struct EventCause {
    const ActiveRequests* requests = nullptr;  // all open ones, before the module's actions take effect
    const ServerChange* change = nullptr;
    const PurgeNotice* purge = nullptr;
};

class Observer {
public:
    virtual ~Observer() = default;
    // The decision module was passed `event` with the time `now` and returned `actions`. Calls are in event
    // order and never nested.
    virtual void event_handled(const routing::Event& event, Time now,
                               const std::vector<routing::Action>& actions, const EventCause& cause) = 0;
    // A request is answered at intake, without the decision module. `answered` is called next.
    virtual void answered_at_intake(const ClientRequest& request, std::size_t class_index, Time now) = 0;
    // An attempt was about to write its first byte. No `max_age`: the attempt was suppressed. `tightened`: a
    // purge received after the decision lowered `max_age`.
    virtual void first_byte(const AttemptKey& key, std::optional<Span> max_age, bool tightened, Time now) = 0;
    // `id` is 0 for a request that is answered at intake.
    virtual void answered(RequestId id, const ClientResponse& response, Time now) = 0;
};

}  // namespace silverrail::core

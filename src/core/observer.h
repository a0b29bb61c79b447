// Observers of the core, such as traces and measurements. They are notified of what happened and cannot
// change it.
#pragma once

#include <vector>

#include "core/active_request.h"
#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::core {

// What a decision module's event was made from; absent: not from that.
struct EventCause {
    const ActiveRequests* requests = nullptr;  // all open ones, before the module's actions are carried out
    const ServerChange* change = nullptr;
    const PurgeNotice* purge = nullptr;
};

class Observer {
public:
    virtual ~Observer() = default;
    // The decision module handled `event` at `now`, the time that it was given, and returned `actions`.
    // Called in order, never nested.
    virtual void event_handled(const routing::Event& event, Time now,
                               const std::vector<routing::Action>& actions, const EventCause& origin) = 0;
    // A request is answered at intake, without the decision module. `answered` follows.
    virtual void answered_at_intake(const ClientRequest& request, std::size_t class_index, Time now) = 0;
    // An attempt's first byte was due; absent `max_age`: the attempt was suppressed.
    virtual void first_byte(const AttemptKey& key, std::optional<Span> max_age, bool tightened, Time now) = 0;
    // `id` is 0 for a request that is answered at intake.
    virtual void answered(RequestId id, const ClientResponse& answer, Time now) = 0;
};

}  // namespace silverrail::core

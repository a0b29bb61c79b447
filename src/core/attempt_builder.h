// Builds attempts from the decision module's Send actions, and re-evaluates them before their first byte.
#pragma once

#include "core/active_request.h"
#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::core {

class AttemptBuilder {
public:
    AttemptBuilder(const ServerRegistry& servers, const Purges& purges, const UnixTime& unix_time)
        : servers_(servers), purges_(purges), unix_time_(unix_time) {}
    // The attempt described by `send`. Absent: the target is not a known server, so nothing may be sent.
    std::optional<AttemptRequest> build(const routing::Send& send, const ActiveRequest& request,
                                        std::uint32_t attempt, Time now) const;
    // The maximum age of a cached copy that the server may respond with.
    struct CopyAge {
        Span max_age{};          // as in AttemptRequest
        bool tightened = false;  // by a purge received after the decision
    };
    // `class_max_age`: max_age of the request's class; 0: its copies do not expire by age.
    CopyAge copy_age_at_first_byte(const AttemptRequest& request, Span class_max_age, Time now) const;
    // The address to redirect a client to. A redirect carries nothing but an address. Absent: the attempt has
    // parameters that would be lost, or the server is not usable.
    std::optional<std::string> redirect_address(const AttemptRequest& request, const std::string& parent_kind,
                                                Time now) const;

private:
    const ServerRegistry& servers_;
    const Purges& purges_;
    const UnixTime& unix_time_;
};

}  // namespace silverrail::core

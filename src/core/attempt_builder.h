// Makes attempts of the decision module's Send actions, and checks them again right before their first byte.
#pragma once

#include "core/active_request.h"
#include "core/purges.h"
#include "core/server_registry.h"

namespace silverrail::core {

class AttemptBuilder {
public:
    AttemptBuilder(const ServerRegistry& servers, const Purges& purges, const UnixTime& unix_time)
        : servers_(servers), purges_(purges), unix_time_(unix_time) {}
    // The attempt that `send` asks for. Absent: its server is not known, so nothing may be sent.
    std::optional<AttemptRequest> build(const routing::Send& send, const ActiveRequest& request,
                                        std::uint32_t attempt, Time now) const;
    // The greatest age of a copy that the server may answer with.
    struct CopyAge {
        Span max_age{};          // as in AttemptRequest
        bool tightened = false;  // by a purge that came after the decision
    };
    // `class_max_age` is that of the request's class; 0: its copies do not age.
    CopyAge copy_age_at_first_byte(const AttemptRequest& request, Span class_max_age, Time now) const;
    // The address to redirect a client to. It carries nothing but the server's name: absent where the attempt
    // needs more than that, or the server must not be named.
    std::optional<std::string> redirect_address(const AttemptRequest& request, const std::string& parent_kind,
                                                Time now) const;

private:
    const ServerRegistry& servers_;
    const Purges& purges_;
    const UnixTime& unix_time_;
};

}  // namespace silverrail::core

// How long the router's own uplink takes to send a response to a client. Responses share it in the order in
// which they are reserved, and a single one is sent no faster than its own limit. No clock: time is passed
// in.
#pragma once

#include "silverrail/routing/router.h"

namespace silverrail::cache {

using routing::Span;
using routing::Time;

struct UplinkRates {
    double per_response_bytes_per_s = 0;  // the most that one response gets
    double total_bytes_per_s = 0;         // all together
    bool known() const {
        return per_response_bytes_per_s > 0 && total_bytes_per_s > 0;
    }
};

class UplinkBudget {
public:
    explicit UplinkBudget(UplinkRates rates) : rates_(rates) {}
    // From now until the last of so many bytes is sent, behind all that was reserved before.
    Span time_to_send(double bytes, Time now) const;
    // The same on an idle uplink: the sending time that a class's latency objective stretches by.
    Span time_to_send_alone(double bytes) const;
    void reserve(double bytes, Time now);

private:
    Span time_in_queue(double bytes, Time now) const;

    UplinkRates rates_;
    Time idle_from_{};  // when all that was reserved is sent
};

}  // namespace silverrail::cache

// Estimates how long a response to a client takes on the router's own uplink. Responses are modelled as a
// queue in the order of their reservation, each one also limited by a rate of its own. Reads no clock: time
// is passed in.
#pragma once

#include "silverrail/routing/router.h"

namespace silverrail::cache {

using routing::Span;
using routing::Time;

struct UplinkRates {
    double per_response_bytes_per_s = 0;  // limit for a single response
    double total_bytes_per_s = 0;         // limit for all responses together
    bool known() const {
        return per_response_bytes_per_s > 0 && total_bytes_per_s > 0;
    }
};

class UplinkBudget {
public:
    explicit UplinkBudget(UplinkRates rates) : rates_(rates) {}
    // Time from now until `bytes` are sent after all earlier reservations.
    Span time_to_send(double bytes, Time now) const;
    // The same on an idle uplink. A class's latency objective is extended in proportion to it.
    Span time_to_send_alone(double bytes) const;
    void reserve(double bytes, Time now);

private:
    Span time_in_queue(double bytes, Time now) const;

    UplinkRates rates_;
    Time idle_from_{};  // when all reserved bytes will have been sent
};

}  // namespace silverrail::cache

// How long the router's own link takes to send a copy to a client. Transfers share it in the order of their
// answers, and one alone runs no faster than its own bound. No clock: time comes in.
#pragma once

#include "silverrail/routing/router.h"

namespace silverrail::copies {

using routing::Span;
using routing::Time;

struct LinkRates {
    double flow_bytes_per_s = 0;  // one transfer, at most
    double link_bytes_per_s = 0;  // all together
    bool told() const {
        return flow_bytes_per_s > 0 && link_bytes_per_s > 0;
    }
};

class OwnLink {
public:
    explicit OwnLink(LinkRates rates) : rates_(rates) {}
    // From now until the last of so many bytes is through, behind all that was taken before.
    Span finish(double bytes, Time now) const;
    // The same for a link without other transfers: the sending time that a class's aim stretches by.
    Span alone(double bytes) const;
    void take(double bytes, Time now);

private:
    Span queue(double bytes, Time now) const;
    LinkRates rates_;
    Time free_at_{};  // when all that was taken is through
};

}  // namespace silverrail::copies

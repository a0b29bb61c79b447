// Send: turns the module's Send into an order, and checks it again when its first byte is due.
#pragma once

#include "core/fleet.h"
#include "core/open_call.h"
#include "core/purges.h"

namespace silverrail::core {

class Send {
public:
    Send(const Fleet& fleet, const Purges& purges, const UnixTime& unix_time)
        : fleet_(fleet), purges_(purges), unix_time_(unix_time) {}
    // Absent: the server is not known, nothing may be sent.
    std::optional<Order> order(const routing::Send& send, const OpenCall& open, std::uint32_t attempt,
                               Time now) const;
    // May the server be named in what goes out now, as target or as source?
    bool usable(const ServerId& server) const {
        return fleet_.may_be_named(server);
    }
    // The oldest copy that will do at the first byte. `tightened` tells of a late purge.
    Span oldest(const Order& order, Time now, bool& tightened) const;
    // A name is all that a referral carries: an order that needs more is not one. Absent: that is so.
    std::optional<std::string> referral(const Order& order, const std::string& parent_kind, Time now) const;

private:
    const Fleet& fleet_;
    const Purges& purges_;
    const UnixTime& unix_time_;
};

}  // namespace silverrail::core

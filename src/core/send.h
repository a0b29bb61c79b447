// Send: turns the module's Send into an order, and checks it again when its first byte is due.
#pragma once

#include "core/fleet.h"
#include "core/open_call.h"
#include "core/purges.h"

namespace silverrail::core {

class Send {
public:
    Send(const Fleet& fleet, const Purges& purges) : fleet_(fleet), purges_(purges) {}
    // Absent: the box is not known, nothing may be sent.
    std::optional<Order> order(const winchflow::Send& send, const OpenCall& open, std::uint32_t attempt,
                               Time now) const;
    // The oldest copy that will do; absent: it may not be sent any more. `tightened` tells of a late purge.
    std::optional<Span> at_first_byte(const Order& order, Time now, bool& tightened) const;
    // A name is all that a referral carries: an order that needs more is not one. Absent: that is so.
    std::optional<std::string> referral(const Order& order, const std::string& parent_kind, Time now) const;

private:
    const Fleet& fleet_;
    const Purges& purges_;
};

}  // namespace silverrail::core

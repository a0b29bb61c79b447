#include "core/send.h"

#include <algorithm>

namespace silverrail::core {

std::optional<Order> Send::order(const winchflow::Send& send, const OpenCall& open, std::uint32_t attempt,
                                 Time now) const {
    const Box* box = fleet_.find(send.target);
    if (!box)
        return std::nullopt;
    Order order;
    order.key = {send.request, attempt};
    order.call = open.call;
    order.target = send.target;
    order.address = box->address;
    if (send.fill) {
        if (send.fill->source != send.target)
            order.source = send.fill->source;
        order.rank = static_cast<int>(send.fill->rank);
        order.oldest = send.fill->oldest;
        order.join = send.fill->join;
        order.renew = send.fill->renew;
        order.held_only = send.fill->held_only;
    }
    order.repeat_before = send.repeat_before;
    order.give_up = open.call->deadline;
    if (send.timeout > Span{})
        order.give_up = std::min(order.give_up, now + send.timeout);
    return order;
}

Span Send::oldest(const Order& order, Time now, bool& tightened) const {
    // Guards rule 5 (purges): one told during the wait binds by the time of the first byte.
    const auto bound = purges_.bound(*order.call, now, unix_time_);
    tightened = bound && (order.oldest == Span{} || *bound < order.oldest);
    return tightened ? *bound : order.oldest;
}

std::optional<std::string> Send::referral(const Order& order, const std::string& parent_kind,
                                          Time now) const {
    // A purge's age bound, a source that may not fetch, a look without a fill: none fits into a name, and
    // left out they would change what the box does. Nor does a source other than the ordinary one.
    if (order.oldest != Span{} || order.held_only || !order.source)
        return std::nullopt;
    const Box* source = fleet_.find(*order.source);
    if (!source || (!parent_kind.empty() && source->entry.kind != parent_kind))
        return std::nullopt;
    if (purges_.bound(*order.call, now, unix_time_))
        return std::nullopt;  // also where its group is not told
    const Box* box = fleet_.find(order.target);
    if (!box || !fleet_.may_be_named(order.target))
        return std::nullopt;
    return box->address;
}

}  // namespace silverrail::core

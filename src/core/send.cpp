#include "core/send.h"

#include <algorithm>

namespace silverrail::core {

std::optional<Order> Send::order(const routing::Send& send, const OpenCall& open, std::uint32_t attempt,
                                 Time now) const {
    const Server* server = fleet_.find(send.target);
    if (!server)
        return std::nullopt;
    Order order;
    order.key = {send.request, attempt};
    order.call = open.call;
    order.target = send.target;
    order.address = server->address;
    if (send.fill) {
        if (send.fill->source != send.target)
            order.source = send.fill->source;
        order.retention = static_cast<int>(send.fill->retention);
        order.oldest = send.fill->oldest;
        order.join = send.fill->join;
        order.revalidate = send.fill->revalidate;
        order.only_if_cached = send.fill->only_if_cached;
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
    // left out they would change what the server does. Nor does a source other than the ordinary one.
    if (order.oldest != Span{} || order.only_if_cached || !order.source)
        return std::nullopt;
    const Server* source = fleet_.find(*order.source);
    if (!source || (!parent_kind.empty() && source->entry.kind != parent_kind))
        return std::nullopt;
    if (purges_.bound(*order.call, now, unix_time_))
        return std::nullopt;  // also where its group is not told
    const Server* server = fleet_.find(order.target);
    if (!server || !fleet_.may_be_named(order.target))
        return std::nullopt;
    return server->address;
}

}  // namespace silverrail::core

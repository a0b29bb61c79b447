#include "copies/own_link.h"

#include <algorithm>

namespace silverrail::copies {

namespace {
Span span_of(double seconds) {
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}
}  // namespace

Span OwnLink::alone(double bytes) const {
    return span_of(bytes / rates_.flow_bytes_per_s);
}

Span OwnLink::queue(double bytes, Time now) const {
    return std::max(Span{}, free_at_ - now) + span_of(bytes / rates_.link_bytes_per_s);
}

Span OwnLink::finish(double bytes, Time now) const {
    return std::max(alone(bytes), queue(bytes, now));
}

void OwnLink::take(double bytes, Time now) {
    free_at_ = now + queue(bytes, now);
}

}  // namespace silverrail::copies

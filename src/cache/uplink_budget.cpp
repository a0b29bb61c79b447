#include "cache/uplink_budget.h"

#include <algorithm>

namespace silverrail::cache {

namespace {
Span span_of(double seconds) {
    return std::chrono::duration_cast<Span>(std::chrono::duration<double>(seconds));
}
}  // namespace

Span UplinkBudget::time_to_send_alone(double bytes) const {
    return span_of(bytes / rates_.per_response_bytes_per_s);
}

Span UplinkBudget::time_in_queue(double bytes, Time now) const {
    return std::max(Span{}, idle_from_ - now) + span_of(bytes / rates_.total_bytes_per_s);
}

Span UplinkBudget::time_to_send(double bytes, Time now) const {
    return std::max(time_to_send_alone(bytes), time_in_queue(bytes, now));
}

void UplinkBudget::reserve(double bytes, Time now) {
    idle_from_ = now + time_in_queue(bytes, now);
}

}  // namespace silverrail::cache

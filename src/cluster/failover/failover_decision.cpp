#include "cluster/failover/failover_decision.h"

#include <numeric>
#include <utility>

#include "cluster/failover/failover_codec.h"

namespace silverrail::cluster {

int FailoverDecision::percent_leaving() const {
    return std::accumulate(targets.begin(), targets.end(), 0,
                           [](int sum, const auto& target) { return sum + target.second; });
}

FailoverDecision effective_decision(const ReplicatedEntry* entry) {
    FailoverDecision out;
    if (!entry)
        return out;
    for (const auto& [writer, write] : entry->writes) {
        if (!write.is_live())
            continue;
        auto decision = decode_decision(write.value);
        if (!decision || decision->epoch < out.epoch ||
            (decision->epoch == out.epoch && write.timestamp >= out.timestamp))
            continue;
        out = std::move(*decision);
        out.timestamp = write.timestamp;
        out.writer = writer;
    }
    return out;
}

}  // namespace silverrail::cluster

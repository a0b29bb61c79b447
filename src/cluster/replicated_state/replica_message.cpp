#include "cluster/replicated_state/replica_message.h"

namespace silverrail::cluster {

namespace {

constexpr std::size_t kIntegersSize = 24;  // of the integers in an update or a write

}  // namespace

std::size_t approximate_size(const ReplicaUpdate& update) {
    std::size_t size = update.key.size() + update.writer.size() + kIntegersSize;
    for (const auto& [writer, write] : update.entry.writes)
        size += writer.size() + write.value.size() + kIntegersSize;
    return size;
}

}  // namespace silverrail::cluster

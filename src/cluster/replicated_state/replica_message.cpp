#include "cluster/replicated_state/replica_message.h"

namespace silverrail::cluster {

namespace {

constexpr std::size_t kNumbersSize = 24;  // of an update's or write's numbers

}  // namespace

std::size_t approximate_size(const ReplicaUpdate& update) {
    std::size_t size = update.key.size() + update.writer.size() + kNumbersSize;
    for (const auto& [writer, write] : update.entry.writes)
        size += writer.size() + write.value.size() + kNumbersSize;
    return size;
}

}  // namespace silverrail::cluster

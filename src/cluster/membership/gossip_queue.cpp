#include "cluster/membership/gossip_queue.h"

#include <utility>

namespace silverrail::cluster {

void GossipQueue::enqueue(const MemberRecord& record) {
    const auto [entry, inserted] = priorities_.try_emplace(record.identity.name);
    if (!inserted)
        records_.erase(entry->second);
    entry->second = {0, --next_order_};
    records_.emplace(entry->second, record);
}

void GossipQueue::remove(const std::string& member) {
    const auto entry = priorities_.find(member);
    if (entry == priorities_.end())
        return;
    records_.erase(entry->second);
    priorities_.erase(entry);
}

std::vector<MemberRecord> GossipQueue::take(std::size_t max_records, std::size_t transmit_limit,
                                            const std::string& except) {
    std::vector<std::pair<Priority, MemberRecord>> taken;
    for (auto it = records_.begin(); it != records_.end() && taken.size() < max_records;) {
        if (it->second.identity.name == except) {
            ++it;
            continue;
        }
        taken.emplace_back(it->first, std::move(it->second));
        it = records_.erase(it);
    }
    std::vector<MemberRecord> out;
    out.reserve(taken.size());
    for (auto& [priority, record] : taken) {
        out.push_back(record);
        if (++priority.transmissions >= transmit_limit) {
            priorities_.erase(record.identity.name);
        } else {
            priorities_[record.identity.name] = priority;
            records_.emplace(priority, std::move(record));
        }
    }
    return out;
}

}  // namespace silverrail::cluster

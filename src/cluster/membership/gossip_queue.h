// The records still to be spread by gossip, each a limited number of times: memberlist's transmit-limited
// queue.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/membership/member_record.h"

namespace silverrail::cluster {

class GossipQueue {
public:
    // Queues a record; it replaces an older one of the same member and counts as never sent.
    void enqueue(const MemberRecord& record);
    void remove(const std::string& member);
    // At most `max_records` for one message, those sent least often first, then the newest. A record leaves
    // the queue when it has been taken `transmit_limit` times. The member `except` is left out.
    std::vector<MemberRecord> take(std::size_t max_records, std::size_t transmit_limit,
                                   const std::string& except);
    std::size_t size() const {
        return records_.size();
    }
    bool empty() const {
        return records_.empty();
    }

private:
    struct Priority {
        std::size_t transmissions = 0;
        std::uint64_t order = 0;  // counts down as records come in: the newest is first
        auto operator<=>(const Priority&) const = default;
    };

    std::map<Priority, MemberRecord> records_;
    std::map<std::string, Priority> priorities_;  // by member: where its record stands
    std::uint64_t next_order_ = UINT64_MAX;
};

}  // namespace silverrail::cluster

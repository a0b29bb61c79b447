// Records to spread by gossip, each a limited number of times (memberlist's TransmitLimitedQueue).
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
    // Queues a record with a transmission count of zero. It replaces a queued record of the same member.
    void enqueue(const MemberRecord& record);
    void remove(const std::string& member);
    // Takes at most `max_records` for one message, except that of the member `except`: those sent least often
    // first, then the newest. A record taken `transmit_limit` times leaves the queue.
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
        std::uint64_t order = 0;  // decreases with each enqueued record, so that the newest sorts first
        auto operator<=>(const Priority&) const = default;
    };

    std::map<Priority, MemberRecord> records_;
    std::map<std::string, Priority> priorities_;  // by member: the key of its record in `records_`
    std::uint64_t next_order_ = UINT64_MAX;
};

}  // namespace silverrail::cluster

// One rate limit applied to many clients, each under its own key, in a table of bounded size.
//
// A client whose theoretical arrival time (TAT) has passed is in the same state as a new client, so its entry
// is removed without loss. If the table is full of other entries, the one with the earliest TAT is evicted:
// this loses the least state and keeps the clients that are at their limit. A flood of new keys therefore
// evicts its own entries. If the flood fills the table faster than a new client sends requests, that client's
// entry is lost between its requests and it is not limited; `evicted_unexpired` shows this.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

#include "limits/gcra.h"

namespace silverrail::limits {

class KeyedRateLimiter {
public:
    // Throws std::invalid_argument if `max_keys` is 0. Each key takes about 120 bytes of memory.
    KeyedRateLimiter(Gcra limit, std::size_t max_keys);

    // A `now` before the latest one seen is replaced by that. The caller hashes the keys, with a secret if
    // clients can choose them.
    RateDecision request(std::uint64_t key, Time now);

    std::size_t keys() const {
        return by_key_.size();
    }
    std::uint64_t admitted() const {
        return admitted_;
    }
    std::uint64_t rejected() const {
        return rejected_;
    }
    // Clients evicted before their TAT, and the total time by which their TATs were still ahead.
    std::uint64_t evicted_unexpired() const {
        return evicted_unexpired_;
    }
    Span evicted_time() const {
        return evicted_time_;
    }

private:
    using ByArrivalTime = std::set<std::pair<Time, std::uint64_t>>;  // earliest TAT first
    void remove_expired();
    void evict_if_full();

    Gcra limit_;
    std::size_t max_keys_;
    ByArrivalTime by_arrival_time_;
    std::unordered_map<std::uint64_t, ByArrivalTime::iterator> by_key_;
    Time now_ = Time::min();
    std::uint64_t admitted_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t evicted_unexpired_ = 0;
    Span evicted_time_{};
};

}  // namespace silverrail::limits

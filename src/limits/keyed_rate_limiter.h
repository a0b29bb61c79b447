// One rate limit for many clients, each under its own key, in a bounded table.
//
// A client that has paid for all that was admitted is as if never seen, and is forgotten without loss. Where
// the table is full of others, the one with the least left to pay for is forgotten: that loses the least, and
// it keeps clients at their limit, whom the table is for. A flood of ever new keys so evicts its own. A new
// client is not remembered during a flood that fills the table faster than the client sends requests;
// `evicted_unpaid` shows it.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

#include "limits/gcra.h"

namespace silverrail::limits {

class KeyedRateLimiter {
public:
    // `max_keys`: 1 or more, else throws std::invalid_argument. A key in the table takes about 120 bytes.
    KeyedRateLimiter(Gcra limit, std::size_t max_keys);

    // Times do not run backwards; an earlier one counts as the latest seen. Keys are hashed by the caller,
    // with a secret where clients can choose them.
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
    // Clients forgotten before they had paid, and how much of their time was lost with that in all.
    std::uint64_t evicted_unpaid() const {
        return evicted_unpaid_;
    }
    Span unpaid_time() const {
        return unpaid_time_;
    }

private:
    using ByPaidTime = std::set<std::pair<Time, std::uint64_t>>;  // the least left to pay for in front
    void forget_paid();
    void make_room();

    Gcra limit_;
    std::size_t max_keys_;
    ByPaidTime by_paid_time_;
    std::unordered_map<std::uint64_t, ByPaidTime::iterator> by_key_;
    Time now_ = Time::min();
    std::uint64_t admitted_ = 0;
    std::uint64_t rejected_ = 0;
    std::uint64_t evicted_unpaid_ = 0;
    Span unpaid_time_{};
};

}  // namespace silverrail::limits

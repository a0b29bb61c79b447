// One limit for many who ask, each under a key of its own, in a bounded table.
//
// Who has paid for all that was let through is as if never seen, and is forgotten without loss. Where the
// table is full of others, the one who has least left to pay for is forgotten: that gives away the least
// there is to give away, and it keeps those at their limit, whom the table is for. A flood of ever new keys
// so drives out itself. One who comes anew during a flood that fills the table faster than he asks is not
// remembered: `given_up` shows it.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>

#include "limits/gcra.h"

namespace silverrail::limits {

class Limiter {
public:
    // `most_keys` 1 or more. About 120 bytes for each key that is in the table.
    Limiter(Gcra limit, std::size_t most_keys);

    // Times do not run backwards; an earlier one counts as the latest seen. Keys are spread by the caller,
    // with a secret where those who ask can choose them.
    Verdict take(std::uint64_t key, Time now);

    std::size_t keys() const {
        return by_key_.size();
    }
    std::uint64_t admitted() const {
        return admitted_;
    }
    std::uint64_t refused() const {
        return refused_;
    }
    // Forgotten before they had paid, and how much of their time was given away with that, in all.
    std::uint64_t given_up() const {
        return given_up_;
    }
    Span given_away() const {
        return given_away_;
    }

private:
    using Order = std::set<std::pair<Time, std::uint64_t>>;  // who has least left first
    void forget_paid();
    void make_room();

    Gcra limit_;
    std::size_t most_keys_;
    Order order_;
    std::unordered_map<std::uint64_t, Order::iterator> by_key_;
    Time now_ = Time::min();
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t given_up_ = 0;
    Span given_away_{};
};

}  // namespace silverrail::limits

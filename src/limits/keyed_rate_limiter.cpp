#include "limits/keyed_rate_limiter.h"

#include <algorithm>
#include <stdexcept>

namespace silverrail::limits {

namespace {
// Of paid entries, for each request: bounds the cost of one, and two a request keep up with all that arrive.
constexpr int kMaxForgottenAtOnce = 2;
}  // namespace

KeyedRateLimiter::KeyedRateLimiter(Gcra limit, std::size_t max_keys) : limit_(limit), max_keys_(max_keys) {
    if (max_keys == 0)
        throw std::invalid_argument("a limit needs room for a key");
}

void KeyedRateLimiter::forget_paid() {
    for (int i = 0; i < kMaxForgottenAtOnce; ++i) {
        const auto first = by_paid_time_.begin();
        if (first == by_paid_time_.end() || first->first > now_)
            return;
        by_key_.erase(first->second);
        by_paid_time_.erase(first);
    }
}

void KeyedRateLimiter::make_room() {
    if (by_key_.size() < max_keys_)
        return;
    const auto least = by_paid_time_.begin();
    if (least->first > now_) {
        ++evicted_unpaid_;
        unpaid_time_ += least->first - now_;
    }
    by_key_.erase(least->second);
    by_paid_time_.erase(least);
}

RateDecision KeyedRateLimiter::request(std::uint64_t key, Time now) {
    now_ = std::max(now_, now);
    forget_paid();
    const auto known = by_key_.find(key);
    Time paid_until = known == by_key_.end() ? Time::min() : known->second->first;
    const RateDecision decision = limit_.request(paid_until, now_);
    if (!decision.admitted) {
        ++rejected_;
        return decision;
    }
    ++admitted_;
    if (known != by_key_.end()) {
        auto node = by_paid_time_.extract(known->second);
        node.value().first = paid_until;
        known->second = by_paid_time_.insert(std::move(node)).position;
    } else {
        make_room();
        by_key_.emplace(key, by_paid_time_.emplace(paid_until, key).first);
    }
    return decision;
}

}  // namespace silverrail::limits

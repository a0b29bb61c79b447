#include "limits/keyed_rate_limiter.h"

#include <algorithm>
#include <stdexcept>

namespace silverrail::limits {

namespace {
// Expired entries removed per request. Bounds the cost of a request; as a request adds one entry at most, two
// are enough to keep up.
constexpr int kMaxRemovedPerRequest = 2;
}  // namespace

KeyedRateLimiter::KeyedRateLimiter(Gcra limit, std::size_t max_keys) : limit_(limit), max_keys_(max_keys) {
    if (max_keys == 0)
        throw std::invalid_argument("max_keys must be at least 1");
}

void KeyedRateLimiter::remove_expired() {
    for (int i = 0; i < kMaxRemovedPerRequest; ++i) {
        const auto first = by_arrival_time_.begin();
        if (first == by_arrival_time_.end() || first->first > now_)
            return;
        by_key_.erase(first->second);
        by_arrival_time_.erase(first);
    }
}

void KeyedRateLimiter::evict_if_full() {
    if (by_key_.size() < max_keys_)
        return;
    const auto earliest = by_arrival_time_.begin();
    if (earliest->first > now_) {
        ++evicted_unexpired_;
        evicted_time_ += earliest->first - now_;
    }
    by_key_.erase(earliest->second);
    by_arrival_time_.erase(earliest);
}

RateDecision KeyedRateLimiter::request(std::uint64_t key, Time now) {
    now_ = std::max(now_, now);
    remove_expired();
    const auto known = by_key_.find(key);
    Time arrival_time = known == by_key_.end() ? Time::min() : known->second->first;
    const RateDecision decision = limit_.request(arrival_time, now_);
    if (!decision.admitted) {
        ++rejected_;
        return decision;
    }
    ++admitted_;
    if (known != by_key_.end()) {
        auto node = by_arrival_time_.extract(known->second);
        node.value().first = arrival_time;
        known->second = by_arrival_time_.insert(std::move(node)).position;
    } else {
        evict_if_full();
        by_key_.emplace(key, by_arrival_time_.emplace(arrival_time, key).first);
    }
    return decision;
}

}  // namespace silverrail::limits

#include "limits/limiter.h"

#include <algorithm>
#include <stdexcept>

namespace silverrail::limits {

namespace {
// At most so many are forgotten at one time, so that no single request pays for all; two a request keep up.
constexpr int kForgetAtOnce = 2;
}  // namespace

Limiter::Limiter(Gcra limit, std::size_t most_keys) : limit_(limit), most_keys_(most_keys) {
    if (most_keys == 0)
        throw std::invalid_argument("a limit needs room for a key");
}

void Limiter::forget_paid() {
    for (int i = 0; i < kForgetAtOnce && !order_.empty() && order_.begin()->first <= now_; ++i) {
        by_key_.erase(order_.begin()->second);
        order_.erase(order_.begin());
    }
}

void Limiter::make_room() {
    if (by_key_.size() < most_keys_)
        return;
    const auto least = order_.begin();
    if (least->first > now_) {
        ++given_up_;
        given_away_ += least->first - now_;
    }
    by_key_.erase(least->second);
    order_.erase(least);
}

Verdict Limiter::take(std::uint64_t key, Time now) {
    now_ = std::max(now_, now);
    forget_paid();
    const auto at = by_key_.find(key);
    Time paid_until = at == by_key_.end() ? Time::min() : at->second->first;
    const Verdict verdict = limit_.take(paid_until, now_);
    if (!verdict.admitted) {
        ++refused_;
        return verdict;
    }
    ++admitted_;
    if (at != by_key_.end()) {
        auto node = order_.extract(at->second);
        node.value().first = paid_until;
        at->second = order_.insert(std::move(node)).position;
    } else {
        make_room();
        by_key_.emplace(key, order_.emplace(paid_until, key).first);
    }
    return verdict;
}

}  // namespace silverrail::limits

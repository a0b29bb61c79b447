#include "net/clock.h"

namespace silverrail::net {

core::Timers::Handle TimerQueue::at(core::Time when, std::function<void()> action) {
    const Handle handle = ++last_;
    // The clock reads whole microseconds: between two of them nothing could be due.
    when = core::Time{std::chrono::ceil<std::chrono::microseconds>(when.time_since_epoch())};
    queue_.emplace(Key{when, handle}, std::move(action));
    due_.emplace(handle, when);
    arm();
    return handle;
}

void TimerQueue::cancel(Handle handle) {
    auto at = due_.find(handle);
    if (at == due_.end())
        return;
    queue_.erase({at->second, handle});
    due_.erase(at);
}

void TimerQueue::arm() {
    if (queue_.empty())
        return;
    const core::Time next = queue_.begin()->first.first;
    if (armed_ != core::Time{} && armed_ <= next)
        return;
    armed_ = next;
    timer_.expires_at(std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(next.time_since_epoch())});
    timer_.async_wait([this](const error_code& error) {
        if (!error)
            fire();
    });
}

void TimerQueue::fire() {
    armed_ = {};
    const core::Time now = clock_.now();
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
        auto node = queue_.extract(queue_.begin());
        due_.erase(node.key().second);
        node.mapped()();
    }
    arm();
}

}  // namespace silverrail::net

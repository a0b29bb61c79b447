#include "net/clock.h"

namespace silverrail::net {

core::Timers::Handle TimerQueue::at(core::Time when, std::function<void()> action) {
    const Handle handle = ++last_handle_;
    // Rounded up, as now() is truncated to whole microseconds: timer_ could expire while now() is still
    // before `when`.
    when = core::Time{std::chrono::ceil<std::chrono::microseconds>(when.time_since_epoch())};
    queue_.emplace(Key{when, handle}, std::move(action));
    due_times_.emplace(handle, when);
    arm();
    return handle;
}

void TimerQueue::cancel(Handle handle) {
    auto at = due_times_.find(handle);
    if (at == due_times_.end())
        return;
    queue_.erase({at->second, handle});
    due_times_.erase(at);
}

void TimerQueue::arm() {
    if (queue_.empty())
        return;
    const core::Time next = queue_.begin()->first.first;
    if (armed_for_ != core::Time{} && armed_for_ <= next)
        return;
    armed_for_ = next;
    timer_.expires_at(std::chrono::steady_clock::time_point{
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(next.time_since_epoch())});
    timer_.async_wait([this](const error_code& error) {
        if (!error)
            fire();
    });
}

void TimerQueue::fire() {
    armed_for_ = {};
    const core::Time now = clock_.now();
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
        auto node = queue_.extract(queue_.begin());
        due_times_.erase(node.key().second);
        node.mapped()();
    }
    arm();
}

}  // namespace silverrail::net

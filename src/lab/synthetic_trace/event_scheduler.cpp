#include "lab/synthetic_trace/event_scheduler.h"

#include <algorithm>

namespace silverrail::lab {

void EventScheduler::schedule_at(Duration time, Action action) {
    queue_.emplace(Due{std::max(time, now_), ++last_sequence_}, std::move(action));
}

bool EventScheduler::run_next(Duration end) {
    if (queue_.empty() || queue_.begin()->first.time > end)
        return false;
    const auto next = queue_.extract(queue_.begin());
    now_ = next.key().time;
    next.mapped()();
    return true;
}

}  // namespace silverrail::lab

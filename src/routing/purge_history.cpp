#include "routing/purge_history.h"

#include <algorithm>

namespace silverrail::routing {

namespace {

using namespace std::chrono_literals;

constexpr Span kMargin = 500ms;  // for copies that were in transit when their purge completed

}  // namespace

void PurgeHistory::record(const Purge& purge, Time now) {
    const Time purged_at = now - purge.age;
    Time& latest = purge.object ? objects_[*purge.object] : groups_[purge.group];
    latest = std::max(latest, purged_at);
}

void PurgeHistory::erase_completed(Time now) {
    if (now < last_cleanup_ + kMargin)
        return;
    last_cleanup_ = now;
    const Time completed = now - settings_.purge_complete_within - settings_.purge_effective_within - kMargin;
    std::erase_if(objects_, [completed](const auto& entry) { return entry.second < completed; });
    std::erase_if(groups_, [completed](const auto& entry) { return entry.second < completed; });
}

std::optional<Span> PurgeHistory::max_age(const Request& request, Time now) const {
    std::optional<Span> bound;
    const auto tighten = [&](Time purged_at) {
        const Span age = now - purged_at;
        bound = std::max(Span{1}, std::min(bound.value_or(age), age));
    };
    if (const auto object = objects_.find(request.object); object != objects_.end())
        tighten(object->second);
    if (const auto group = groups_.find(request.group); group != groups_.end())
        tighten(group->second);
    return bound;
}

}  // namespace silverrail::routing

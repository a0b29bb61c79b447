#include "core/purges.h"

#include <algorithm>

namespace silverrail::core {

namespace {
constexpr Span kBetweenSweeps = std::chrono::seconds{1};
}

void Purges::Known::revalidate(const Known& other) {
    issued_ms = std::max(issued_ms, other.issued_ms);
    told = std::max(told, other.told);
}

void Purges::add(const PurgeNotice& purge, Time now) {
    forget(now);
    Known& known = purge.object ? objects_[*purge.object] : groups_[purge.group];
    known.revalidate({purge.issued_ms, now});
}

std::optional<Purges::Known> Purges::latest(const Call& call) const {
    std::optional<Known> found;
    const auto take = [&found](const Known& known) {
        if (!found)
            found.emplace();
        found->revalidate(known);
    };
    if (const auto object = objects_.find(call.object_id); object != objects_.end())
        take(object->second);
    if (!call.group_known) {
        for (const auto& [group, known] : groups_)
            take(known);
    } else if (const auto group = groups_.find(call.group); group != groups_.end()) {
        take(group->second);
    }
    return found;
}

std::optional<std::int64_t> Purges::issued(const Call& call, Time now) const {
    const auto known = latest(call);
    if (!known || known->told + kept_for_ < now)
        return std::nullopt;
    return known->issued_ms;
}

std::optional<Span> Purges::bound(const Call& call, Time now, const UnixTime& unix_time) const {
    const auto known = latest(call);
    if (!known)
        return std::nullopt;
    const Span age = std::max(now - known->told, unix_time.proven_age(now, known->issued_ms));
    if (age > cleared_after_)
        return std::nullopt;
    // Never 0, which would mean the class's fresh time.
    return std::max<Span>(std::chrono::milliseconds{1}, age);
}

void Purges::forget(Time now) {
    if (now < swept_ + kBetweenSweeps)
        return;
    swept_ = now;
    const auto old = [&](const auto& entry) {
        return entry.second.told + kept_for_ < now;
    };
    std::erase_if(objects_, old);
    std::erase_if(groups_, old);
}

}  // namespace silverrail::core

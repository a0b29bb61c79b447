#include "core/purges.h"

#include <algorithm>

namespace silverrail::core {

namespace {
constexpr Span kSweepInterval = std::chrono::seconds{1};
// 0 would stand for the class's max_age.
constexpr Span kMinCopyAge = std::chrono::milliseconds{1};
}  // namespace

void Purges::Entry::merge(const Entry& other) {
    issued_ms = std::max(issued_ms, other.issued_ms);
    received = std::max(received, other.received);
}

void Purges::add(const PurgeNotice& purge, Time now) {
    forget_old(now);
    Entry& entry = purge.object ? objects_[*purge.object] : groups_[purge.group];
    entry.merge({purge.issued_ms, now});
}

std::optional<Purges::Entry> Purges::latest(const ClientRequest& request) const {
    std::optional<Entry> latest;
    const auto include = [&latest](const Entry& entry) {
        if (!latest)
            latest.emplace();
        latest->merge(entry);
    };
    if (const auto object = objects_.find(request.object_id); object != objects_.end())
        include(object->second);
    if (!request.group_known) {
        for (const auto& [group, entry] : groups_)
            include(entry);
    } else if (const auto group = groups_.find(request.group); group != groups_.end()) {
        include(group->second);
    }
    return latest;
}

std::optional<std::int64_t> Purges::last_issued_ms(const ClientRequest& request, Time now) const {
    const auto entry = latest(request);
    if (!entry || entry->received + remembered_for_ < now)
        return std::nullopt;
    return entry->issued_ms;
}

std::optional<Span> Purges::max_copy_age(const ClientRequest& request, Time now,
                                         const UnixTime& unix_time) const {
    const auto entry = latest(request);
    if (!entry)
        return std::nullopt;
    const Span age = std::max(now - entry->received, unix_time.proven_age(now, entry->issued_ms));
    if (age > cleared_after_)
        return std::nullopt;
    return std::max(kMinCopyAge, age);
}

void Purges::forget_old(Time now) {
    if (now < last_sweep_ + kSweepInterval)
        return;
    last_sweep_ = now;
    const auto is_old = [&](const auto& entry) {
        return entry.second.received + remembered_for_ < now;
    };
    std::erase_if(objects_, is_old);
    std::erase_if(groups_, is_old);
}

}  // namespace silverrail::core

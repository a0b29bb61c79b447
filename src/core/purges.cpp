#include "core/purges.h"

#include <algorithm>

namespace silverrail::core {

void Purges::add(const PurgeNotice& purge, std::int64_t unix_ms) {
    forget(unix_ms);
    auto& issued = purge.object ? objects_[*purge.object] : groups_[purge.group];
    issued = std::max(issued, purge.issued_ms);
}

std::optional<std::int64_t> Purges::issued(const Call& call, std::int64_t unix_ms) const {
    std::optional<std::int64_t> issued;
    if (auto at = objects_.find(call.object_id); at != objects_.end()) issued = at->second;
    for (auto at = call.group_known ? groups_.find(call.group) : groups_.begin(); at != groups_.end(); ++at) {
        issued = std::max(issued.value_or(at->second), at->second);
        if (call.group_known) break;
    }
    if (issued && *issued + kept_ms_ < unix_ms) return std::nullopt;
    return issued;
}

std::optional<Span> Purges::bound(const Call& call, std::int64_t unix_ms) const {
    const auto at = issued(call, unix_ms);
    if (!at || *at + cleared_ms_ < unix_ms) return std::nullopt;
    // Never 0, which would mean the class's fresh time.
    return std::chrono::milliseconds{std::max<std::int64_t>(1, unix_ms - *at)};
}

void Purges::forget(std::int64_t unix_ms) {
    if (unix_ms < swept_ms_ + 1000) return;
    swept_ms_ = unix_ms;
    const auto old = [&](const auto& e) { return e.second + kept_ms_ < unix_ms; };
    std::erase_if(objects_, old);
    std::erase_if(groups_, old);
}

}  // namespace silverrail::core

#include "routing/hot_object_tracker.h"

#include <algorithm>
#include <iterator>

namespace silverrail::routing {

namespace {

constexpr double kTargetImbalance = 1.5;  // ratio of the largest to the smallest load
constexpr double kTolerance = 0.2;        // relative to the hits per object; smaller differences are random

double hits_per_object(std::size_t hits, std::size_t objects) {
    return static_cast<double>(hits) / static_cast<double>(std::max<std::size_t>(1, objects));
}

}  // namespace

Popularity HotObjectTracker::record_request(ObjectId object) {
    ++epoch_requests_;
    const auto found = entries_.find(object);
    if (found == entries_.end()) {
        track(object);
        return Popularity::untracked;
    }
    ++(is_hot(found->second) ? epoch_hot_requests_ : epoch_tracked_requests_);
    change_hotness(found->second, +1);
    return is_hot(found->second) ? Popularity::hot : Popularity::tracked;
}

void HotObjectTracker::record_update(ObjectId object) {
    if (const auto found = entries_.find(object); found != entries_.end())
        change_hotness(found->second, -1);
}

Popularity HotObjectTracker::popularity(ObjectId object) const {
    const auto found = entries_.find(object);
    if (found == entries_.end())
        return Popularity::untracked;
    return is_hot(found->second) ? Popularity::hot : Popularity::tracked;
}

void HotObjectTracker::end_epoch(double imbalance) {
    const double hot_hits = hits_per_object(epoch_hot_requests_, hot_.size());
    const double tracked_hits = hits_per_object(epoch_tracked_requests_, entries_.size() - hot_.size());
    const double low = (1 - kTolerance) * target_hits_per_hot_object_;
    if (imbalance > kTargetImbalance && hot_hits >= tracked_hits) {
        resize(hot_capacity_ * 2, tracker_capacity_ * 2);
        target_hits_per_hot_object_ = hot_hits;
    } else if (hot_hits < low && tracked_hits < low) {
        resize(hot_capacity_ / 2, tracker_capacity_ / 2);
    } else if (hot_hits < low) {
        halve_hotness();
    }
    epoch_requests_ = 0;
    epoch_hot_requests_ = 0;
    epoch_tracked_requests_ = 0;
}

// A new object replaces the coldest one and inherits its count (space-saving algorithm).
void HotObjectTracker::track(ObjectId object) {
    double inherited = 0;
    if (entries_.size() >= tracker_capacity_)
        inherited = remove_coldest().hotness;
    const Entry entry{inherited + 1, ++arrivals_, object};
    entries_.emplace(object, entry);
    tracked_.insert(entry);
    restore_order();
}

void HotObjectTracker::change_hotness(Entry& entry, double difference) {
    (is_hot(entry) ? hot_ : tracked_).erase(entry);
    entry.hotness += difference;
    tracked_.insert(entry);
    restore_order();
}

HotObjectTracker::Entry HotObjectTracker::remove_coldest() {
    auto& from = tracked_.empty() ? hot_ : tracked_;
    const Entry coldest = *from.begin();
    from.erase(from.begin());
    entries_.erase(coldest.object);
    return coldest;
}

// Restores the invariant that `hot_` holds the hottest objects, up to its capacity.
void HotObjectTracker::restore_order() {
    while (hot_.size() > hot_capacity_)
        tracked_.insert(hot_.extract(hot_.begin()));
    while (hot_.size() < hot_capacity_ && !tracked_.empty())
        hot_.insert(tracked_.extract(std::prev(tracked_.end())));
    while (!hot_.empty() && !tracked_.empty() && tracked_.rbegin()->hotness > hot_.begin()->hotness) {
        tracked_.insert(hot_.extract(hot_.begin()));
        hot_.insert(tracked_.extract(std::prev(tracked_.end())));
    }
}

void HotObjectTracker::resize(std::size_t hot_capacity, std::size_t tracker_capacity) {
    tracker_capacity_ = std::clamp(tracker_capacity, kInitialTrackerCapacity, kMaxTrackerCapacity);
    hot_capacity_ = std::clamp<std::size_t>(hot_capacity, 1, tracker_capacity_ / 2);
    while (entries_.size() > tracker_capacity_)
        remove_coldest();
    restore_order();
}

void HotObjectTracker::halve_hotness() {
    hot_.clear();
    tracked_.clear();
    for (auto& [object, entry] : entries_) {
        entry.hotness /= 2;
        tracked_.insert(entry);
    }
    restore_order();
}

}  // namespace silverrail::routing

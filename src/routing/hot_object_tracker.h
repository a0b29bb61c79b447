// Finds the hot objects with a space-saving tracker of K objects, of which the C hottest form the hot set.
// Both sizes adapt to reach a target load imbalance ("Cache on Track", CoT; resizing is Algorithm 3 of the
// paper).
//
// Objects are ordered by hotness, then by time of arrival in the tracker, then by id, so that equal inputs
// give equal results. A request costs O(log K).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "silverrail/routing/router.h"

namespace silverrail::routing {

// How often an object is requested compared to others. untracked: not in the tracker before this request.
enum class Popularity { untracked, tracked, hot };

class HotObjectTracker {
public:
    // Counts a request, tracks the object if it is new, and returns its popularity.
    Popularity record_request(ObjectId object);

    // Records an update of the object, which lowers its hotness.
    void record_update(ObjectId object);

    // Returns the popularity without counting a request.
    Popularity popularity(ObjectId object) const;

    // True if this epoch has had as many requests as the tracker has entries.
    bool is_epoch_full() const {
        return epoch_requests_ >= tracker_capacity_;
    }

    // Resizes the tracker and the hot set and begins a new epoch. `imbalance` is the ratio of the largest
    // to the smallest parent load in the epoch that ends.
    void end_epoch(double imbalance);

    std::size_t hot_capacity() const {
        return hot_capacity_;
    }
    std::size_t tracker_capacity() const {
        return tracker_capacity_;
    }
    std::size_t hot_size() const {
        return hot_.size();
    }
    std::size_t size() const {
        return entries_.size();
    }

private:
    struct Entry {
        double hotness = 0;
        std::uint64_t arrival = 0;  // sequence number of its arrival in the tracker
        ObjectId object{};
        auto operator<=>(const Entry&) const = default;
    };

    static constexpr std::size_t kInitialTrackerCapacity = 2048;  // objects; also the minimum
    static constexpr std::size_t kMaxTrackerCapacity = 16384;     // objects; bounds memory
    static constexpr std::size_t kInitialHotCapacity = 64;        // objects

    bool is_hot(const Entry& entry) const {
        return hot_.contains(entry);
    }
    void track(ObjectId object);
    void change_hotness(Entry& entry, double difference);
    Entry remove_coldest();
    void restore_order();
    void resize(std::size_t hot_capacity, std::size_t tracker_capacity);
    void halve_hotness();

    std::size_t hot_capacity_ = kInitialHotCapacity;
    std::size_t tracker_capacity_ = kInitialTrackerCapacity;
    std::map<ObjectId, Entry> entries_;
    std::set<Entry> hot_;      // the `hot_capacity_` hottest
    std::set<Entry> tracked_;  // the others
    std::uint64_t arrivals_ = 0;
    std::size_t epoch_requests_ = 0;
    std::size_t epoch_hot_requests_ = 0;
    std::size_t epoch_tracked_requests_ = 0;
    double target_hits_per_hot_object_ = 0;  // the paper's alpha_t
};

}  // namespace silverrail::routing

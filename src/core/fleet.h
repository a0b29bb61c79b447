// The boxes as the bulletin lists them, by id: an address may pass from one box to another.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types.h"
#include "members/bans.h"

namespace silverrail::core {

struct Box {
    winchflow::ListedCache entry;  // entry.id is the bulletin's id
    std::string address;
    std::int64_t started_ms = 0;  // as listed; 0: long ago
    std::optional<Time> barred;   // since when it is known to drain or to be gone
};

struct BoxChange {
    bool complete = false;
    std::vector<Box> boxes;
};

class Fleet {
public:
    // The ids of the boxes whose open connections are void: gone, restarted or moved.
    std::vector<CacheId> apply(const BoxChange& change, Time now);
    // Out by hand, whatever the list says of them, also of ids that it does not name.
    void set_bans(members::Bans bans) { bans_ = std::move(bans); }
    const members::Bans& bans() const { return bans_; }
    // As the module is to see it: one that is out gets nothing new.
    winchflow::ListedCache entry(const Box& box) const;
    const Box* find(const CacheId& id) const;
    // A new send that names the box, as target or as source, is still in time at `now`.
    bool may_be_named(const CacheId& id, Time now) const;
    template <class Test>
    bool any(Test test) const {
        for (const auto& [id, box] : boxes_)
            if (!box.barred && test(box)) return true;
        return false;
    }
    // Of those that the list has not given up.
    template <class Test>
    std::size_t count_listed(Test test) const {
        std::size_t count = 0;
        for (const auto& [id, box] : boxes_)
            if (box.entry.condition != winchflow::Condition::gone && test(box)) ++count;
        return count;
    }
    std::size_t size() const { return boxes_.size(); }

private:
    // Rule: nothing new to a box later than 2 s after it was said to drain. What was decided just before may
    // still go out, but only well inside that.
    static constexpr Span kBarredFor = std::chrono::milliseconds{1500};
    static constexpr std::size_t kGoneKept = 256;
    std::map<CacheId, Box> boxes_;
    members::Bans bans_;
};

}  // namespace silverrail::core

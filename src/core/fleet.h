// The boxes as the bulletin lists them, by id: an address may pass from one box to another.
#pragma once

#include <map>
#include <set>
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

// How much of each zone's boxes counts for this router, as the fleet has decided in common: a factor on their
// weight. Empty: only those of its own zone, as listed. A zone with a factor is as its own, one with 0 or,
// where any is named, none at all gets nothing: the own zone too. Hub caches and stores are not steered.
using Steering = std::map<std::string, double>;

class Fleet {
public:
    // What of the module's settings tells boxes apart; all the same: without it nothing is steered.
    Fleet() = default;
    explicit Fleet(const winchflow::Settings& settings)
        : zone_(settings.zone),
          parent_kind_(settings.parent_kind),
          origin_kind_(settings.origin_kind),
          weighted_(settings.weights == winchflow::Weights::nominal) {}

    // The ids of the boxes whose open connections are void: gone, restarted or moved.
    std::vector<CacheId> apply(const BoxChange& change, Time now);
    // Out by hand, whatever the list says of them, also of ids that it does not name.
    void set_bans(members::Bans bans) {
        bans_ = std::move(bans);
    }
    const members::Bans& bans() const {
        return bans_;
    }
    // Out on the word of other routers, until they say otherwise.
    void hold_out(std::set<CacheId> ids) {
        held_out_ = std::move(ids);
    }
    void steer(Steering steering) {
        steering_ = std::move(steering);
    }
    // Out by hand, by hearsay or with its zone, whatever the list says.
    bool kept_out(const Box& box) const;
    bool is_cache(const Box& box) const;  // neither hub cache nor store
    const std::string& zone() const {
        return zone_;
    }
    const std::map<CacheId, Box>& boxes() const {
        return boxes_;
    }
    // As the module is to see it: one that is out gets nothing new. The weight is the one that counts.
    winchflow::ListedCache entry(const Box& box) const;
    const Box* find(const CacheId& id) const;
    // May a new send name the box, as target or as source? What was decided before the list said that it
    // drains is new too, until its first byte: it never ran, so it costs nothing to send it elsewhere. The
    // grace is the settings' and may be short, and part of it may have passed before the list was heard.
    bool may_be_named(const CacheId& id) const;
    template <class Test>
    bool any(Test test) const {
        for (const auto& [id, box] : boxes_)
            if (!box.barred && test(box))
                return true;
        return false;
    }
    // Of those that the list has not given up.
    template <class Test>
    std::size_t count_listed(Test test) const {
        std::size_t count = 0;
        for (const auto& [id, box] : boxes_)
            if (box.entry.condition != winchflow::Condition::gone && test(box))
                ++count;
        return count;
    }
    std::size_t size() const {
        return boxes_.size();
    }

private:
    static constexpr std::size_t kGoneKept = 256;
    std::map<CacheId, Box> boxes_;
    members::Bans bans_;
    std::set<CacheId> held_out_;
    Steering steering_;
    std::string zone_, parent_kind_, origin_kind_;
    bool weighted_ = true;
};

}  // namespace silverrail::core

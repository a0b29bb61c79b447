#include "core/fleet.h"

namespace silverrail::core {

std::vector<CacheId> Fleet::apply(const BoxChange& change, Time now) {
    using winchflow::Condition;
    std::vector<CacheId> dropped;
    std::map<CacheId, Box> before;
    if (change.complete) {
        before = boxes_;
        for (auto& [id, box] : boxes_)
            box.entry.condition = Condition::gone;
    }
    for (const Box& told : change.boxes) {
        auto [at, fresh] = boxes_.try_emplace(told.entry.id, told);
        if (fresh)
            continue;
        before.try_emplace(at->first, at->second);
        const auto barred = at->second.barred;
        at->second = told;
        at->second.barred = barred;
    }
    for (auto& [id, box] : boxes_) {
        if (box.entry.condition == Condition::ready)
            box.barred.reset();
        else if (!box.barred)
            box.barred = now;
    }
    // Guards against a connection to a process that is no more: gone (also after it drained), restarted under
    // the same id, or moved.
    for (const auto& [id, old] : before) {
        const Box& box = boxes_.at(id);
        const bool left = box.entry.condition == Condition::gone && old.entry.condition != Condition::gone;
        if (left || box.started_ms != old.started_ms || box.address != old.address)
            dropped.push_back(id);
    }
    if (boxes_.size() > kGoneKept)
        std::erase_if(boxes_, [](const auto& e) { return e.second.entry.condition == Condition::gone; });
    return dropped;
}

bool Fleet::is_cache(const Box& box) const {
    return box.entry.kind != origin_kind_ && (parent_kind_.empty() || box.entry.kind != parent_kind_);
}

bool Fleet::kept_out(const Box& box) const {
    if (bans_.contains(box.entry.id) || held_out_.contains(box.entry.id))
        return true;
    if (steering_.empty() || box.entry.zone != zone_ || !is_cache(box))
        return false;
    const auto factor = steering_.find(zone_);
    return factor == steering_.end() || factor->second <= 0;
}

winchflow::ListedCache Fleet::entry(const Box& box) const {
    winchflow::ListedCache entry = box.entry;
    if (!weighted_)
        entry.weight = 1;
    if (kept_out(box) && entry.condition == winchflow::Condition::ready)
        entry.condition = winchflow::Condition::draining;
    if (const auto factor = steering_.find(entry.zone);
        factor != steering_.end() && factor->second > 0 && is_cache(box)) {
        entry.zone = zone_;
        entry.weight *= factor->second;
    }
    return entry;
}

const Box* Fleet::find(const CacheId& id) const {
    auto at = boxes_.find(id);
    return at == boxes_.end() ? nullptr : &at->second;
}

bool Fleet::may_be_named(const CacheId& id) const {
    const Box* box = find(id);
    return box && !kept_out(*box) && !box->barred;
}

}  // namespace silverrail::core

#include "core/fleet.h"

namespace silverrail::core {

std::vector<CacheId> Fleet::apply(const BoxChange& change, Time now) {
    using winchflow::Condition;
    std::vector<CacheId> dropped;
    if (change.complete)
        for (auto& [id, box] : boxes_) box.entry.condition = Condition::gone;
    for (const Box& told : change.boxes) {
        auto [at, fresh] = boxes_.try_emplace(told.entry.id, told);
        Box& box = at->second;
        // A restart under the same id, or a move: what is open to the old process is void.
        const bool replaced = !fresh && (box.started_ms != told.started_ms || box.address != told.address);
        if (replaced) dropped.push_back(told.entry.id);
        const auto barred = box.barred;
        box = told;
        box.barred = barred;
    }
    for (auto& [id, box] : boxes_) {
        if (box.entry.condition == Condition::ready)
            box.barred.reset();
        else if (!box.barred)
            box.barred = now;
        if (box.entry.condition == Condition::gone && box.barred == now) dropped.push_back(id);
    }
    if (boxes_.size() > kGoneKept)
        std::erase_if(boxes_, [](const auto& e) { return e.second.entry.condition == Condition::gone; });
    return dropped;
}

const Box* Fleet::find(const CacheId& id) const {
    auto at = boxes_.find(id);
    return at == boxes_.end() ? nullptr : &at->second;
}

bool Fleet::may_be_named(const CacheId& id, Time now) const {
    const Box* box = find(id);
    return box && (!box->barred || now < *box->barred + kBarredFor);
}

}  // namespace silverrail::core

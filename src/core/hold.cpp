#include "core/hold.h"

namespace silverrail::core {

namespace {
constexpr std::int64_t kClocksApartMs = 100;  // clocks of two machines, both right
}

void Hold::told_of_purges(bool surely) {
    if (copies_)
        copies_->told_of_purges(surely);
}

std::optional<copies::Wanted> Hold::wanted(const Call& call, std::size_t class_index) const {
    if (!copies_ || call.write || call.redirected || settings_.classes[class_index].uncached)
        return std::nullopt;
    return copies::Wanted{{call.object_id, class_index, call.part}, call.group, call.group_known, call.have};
}

std::optional<Answer> Hold::answer_of(std::optional<copies::Served> served) {
    if (!served)
        return std::nullopt;
    ++(served->stale ? counters_.own_stale : counters_.own_fresh);
    Answer a;
    a.kind = served->body ? Answer::Kind::served : Answer::Kind::unchanged;
    if (served->body)
        a.body = *served->body;
    a.tag = std::move(served->tag);
    a.made_ms = served->made_ms;
    return a;
}

std::optional<Answer> Hold::answer(const Call& call, std::size_t class_index, Time now,
                                   std::int64_t unix_ms) {
    const auto what = wanted(call, class_index);
    return what ? answer_of(copies_->answer(*what, now, unix_ms)) : std::nullopt;
}

std::optional<Answer> Hold::last_resort(const Call& call, std::size_t class_index, Time now,
                                        std::int64_t unix_ms) {
    const auto what = wanted(call, class_index);
    return what ? answer_of(copies_->last_resort(*what, now, unix_ms, call.deadline)) : std::nullopt;
}

void Hold::keep(const OpenCall& open, const AttemptEnd& end, Time now, std::int64_t unix_ms) {
    if (end.attempt_status != AttemptStatus::success || end.unchanged)
        return;
    // Guards rule 5 (no purged copy): past that, the purges that it may be older than are forgotten.
    if (now - open.taken > longest_call_)
        return;
    // Made later than it can be now: one of the clocks is wrong, and its age would be told too young for
    // good.
    if (end.made_ms > unix_ms + kClocksApartMs)
        return;
    const auto what = wanted(*open.call, open.class_index);
    if (!what)
        return;
    copies_->keep(*what, end.body, end.tag, end.made_ms, purges_.issued(*open.call, now).value_or(0));
}

void Hold::purge(const PurgeNotice& purge) {
    if (!copies_)
        return;
    if (purge.object)
        copies_->purge_object(*purge.object, purge.issued_ms);
    else
        copies_->purge_group(purge.group, purge.issued_ms);
}

}  // namespace silverrail::core

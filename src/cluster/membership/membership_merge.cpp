// The rules by which a record from gossip or push-pull changes the view: SWIM's precedence of incarnations,
// after the start of the process.
#include <utility>

#include "cluster/membership/membership.h"

namespace silverrail::cluster {

namespace {

constexpr std::size_t kMaxEvents = 1024;  // between two calls of take_events

bool is_running(MemberState state) {
    return state == MemberState::alive || state == MemberState::suspect;
}

}  // namespace

void Membership::merge(MemberRecord record, Time now, bool from_push_pull) {
    if (record.identity.name == self().identity.name)
        return merge_about_self(record);
    // A view from push-pull may be out of date, so a dead record in it only makes the member a suspect, which
    // can still refute (memberlist does the same).
    if (from_push_pull && record.state == MemberState::dead)
        record.state = MemberState::suspect;
    const auto* held = table_.find(record.identity.name);
    if (!held)
        return merge_new_member(record, now);
    if (record.start > held->record.start) {
        apply_record(record, now);
        add_event(MembershipEvent::Kind::rejoin, record);
        schedule_early_push_pull(now);
        return;
    }
    if (supersedes(held->record, record))
        return;
    switch (record.state) {
        case MemberState::alive:
            return merge_alive(*held, record, now);
        case MemberState::suspect:
            return merge_suspicion(*held, record, now);
        case MemberState::dead:
        case MemberState::left:
            return merge_dead_or_left(*held, record, now);
    }
}

void Membership::merge_about_self(const MemberRecord& record) {
    if (record.start < self().start) {
        // A record of the process before a restart is still being spread; the current record supersedes it.
        gossip_.enqueue(self());
        return;
    }
    if (record.state == MemberState::alive || has_left())
        return;
    if (record.incarnation < self().incarnation) {
        // Refuted already, but the sender does not know the refutation yet.
        gossip_.enqueue(self());
        return;
    }
    // Suspected or declared dead at the current incarnation: refute by raising the incarnation (SWIM). As
    // this router may be the slow one, its local health gets worse (Lifeguard).
    table_.update_self(record.incarnation + 1, self().state);
    gossip_.enqueue(self());
    add_event(MembershipEvent::Kind::refute, self());
    worsen_local_health();
}

void Membership::merge_new_member(const MemberRecord& record, Time now) {
    if (record.state != MemberState::alive)
        return;  // only an alive record adds a member
    if (members().size() >= settings_.max_members) {
        ++counters_.rejected;
        return;
    }
    apply_record(record, now);
    add_event(MembershipEvent::Kind::join, record);
    schedule_early_push_pull(now);
}

void Membership::merge_alive(const Member& held, const MemberRecord& record, Time now) {
    const auto previous = held.record.state;
    if (record.incarnation == held.record.incarnation) {
        if (previous == MemberState::alive)
            table_.update_identity(record.identity);
        return;
    }
    apply_record(record, now);
    if (previous == MemberState::suspect) {
        ++counters_.refutations;
        add_event(MembershipEvent::Kind::refute, record);
    } else if (!is_running(previous)) {
        add_event(MembershipEvent::Kind::recovered, record);
        schedule_early_push_pull(now);
    }
}

void Membership::merge_suspicion(const Member& held, const MemberRecord& record, Time now) {
    if (held.record.state == MemberState::alive) {
        apply_record(record, now);
        ++counters_.suspicions;
        add_event(MembershipEvent::Kind::suspect, record);
        return;
    }
    if (held.record.state != MemberState::suspect)
        return;
    if (record.incarnation > held.record.incarnation)
        apply_record(record, now);
    else if (table_.confirm_suspicion(record.identity.name, record.reported_by))
        gossip_.enqueue(record);
}

void Membership::merge_dead_or_left(const Member& held, const MemberRecord& record, Time now) {
    if (!is_running(held.record.state))
        return;
    if (record.state == MemberState::dead)
        return declare_dead(record, now);
    apply_record(record, now);
    add_event(MembershipEvent::Kind::left, record);
}

void Membership::declare_dead(MemberRecord record, Time now) {
    record.state = MemberState::dead;
    apply_record(record, now);
    ++counters_.deaths;
    add_event(MembershipEvent::Kind::dead, record);
}

// Stores the record in the view and queues it for gossip.
void Membership::apply_record(const MemberRecord& record, Time now) {
    table_.update(record, now);
    gossip_.enqueue(record);
}

void Membership::add_event(MembershipEvent::Kind kind, const MemberRecord& record) {
    if (events_.size() < kMaxEvents)
        events_.push_back({kind, record.identity.name, record.incarnation, record.reported_by});
}

}  // namespace silverrail::cluster

// The rules by which a record from gossip or push-pull changes the view: SWIM's order of incarnations, with
// the start of the process first.
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
    // A full view may be old: a death in it is taken for a suspicion, which the member can still refute
    // (memberlist does the same).
    if (from_push_pull && record.state == MemberState::dead)
        record.state = MemberState::suspect;
    const auto* held = table_.find(record.identity.name);
    if (!held)
        return merge_new_member(record, now);
    if (record.start > held->record.start) {
        adopt(record, now);
        add_event(MembershipEvent::Kind::rejoin, record);
        hasten_push_pull(now);
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
            return merge_end(*held, record, now);
    }
}

void Membership::merge_about_self(const MemberRecord& record) {
    if (record.start < self().start) {
        // Somebody still spreads the run before this one: this run's record supersedes it.
        gossip_.enqueue(self());
        return;
    }
    if (record.state == MemberState::alive || has_left())
        return;
    if (record.incarnation < self().incarnation) {
        // Refuted already, but the sender has not heard it.
        gossip_.enqueue(self());
        return;
    }
    // Suspected or declared dead at our incarnation: refute by raising it (SWIM), and take it as a sign that
    // we may be the slow one (Lifeguard).
    table_.update_self(record.incarnation + 1, self().state);
    gossip_.enqueue(self());
    add_event(MembershipEvent::Kind::refute, self());
    worsen_local_health();
}

void Membership::merge_new_member(const MemberRecord& record, Time now) {
    if (record.state != MemberState::alive)
        return;  // nobody joins by being suspected
    if (members().size() >= settings_.max_members) {
        ++counters_.rejected;
        return;
    }
    adopt(record, now);
    add_event(MembershipEvent::Kind::join, record);
    hasten_push_pull(now);
}

void Membership::merge_alive(const Member& held, const MemberRecord& record, Time now) {
    const auto previous = held.record.state;
    if (record.incarnation == held.record.incarnation) {
        if (previous == MemberState::alive)
            table_.update_identity(record.identity);
        return;
    }
    adopt(record, now);
    if (previous == MemberState::suspect) {
        ++counters_.refutations;
        add_event(MembershipEvent::Kind::refute, record);
    } else if (!is_running(previous)) {
        add_event(MembershipEvent::Kind::recovered, record);
        hasten_push_pull(now);
    }
}

void Membership::merge_suspicion(const Member& held, const MemberRecord& record, Time now) {
    if (held.record.state == MemberState::alive) {
        adopt(record, now);
        ++counters_.suspicions;
        add_event(MembershipEvent::Kind::suspect, record);
        return;
    }
    if (held.record.state != MemberState::suspect)
        return;
    if (record.incarnation > held.record.incarnation)
        adopt(record, now);
    else if (table_.confirm_suspicion(record.identity.name, record.reported_by))
        gossip_.enqueue(record);
}

void Membership::merge_end(const Member& held, const MemberRecord& record, Time now) {
    if (!is_running(held.record.state))
        return;
    if (record.state == MemberState::dead)
        return declare_dead(record, now);
    adopt(record, now);
    add_event(MembershipEvent::Kind::left, record);
}

void Membership::declare_dead(MemberRecord record, Time now) {
    record.state = MemberState::dead;
    adopt(record, now);
    ++counters_.deaths;
    add_event(MembershipEvent::Kind::dead, record);
}

// Takes the record into the view, and spreads it.
void Membership::adopt(const MemberRecord& record, Time now) {
    table_.update(record, now);
    gossip_.enqueue(record);
}

void Membership::add_event(MembershipEvent::Kind kind, const MemberRecord& record) {
    if (events_.size() < kMaxEvents)
        events_.push_back({kind, record.identity.name, record.incarnation, record.reported_by});
}

}  // namespace silverrail::cluster

// Periodic work of a member: probes, gossip, push-pull, and the deadlines of the members in its view.
#include <algorithm>
#include <utility>

#include "cluster/membership/membership.h"

namespace silverrail::cluster {

Membership::Outgoing Membership::tick(Time now) {
    Outgoing out;
    if (has_left())
        return out;
    handle_stall(now);
    send_due_nacks(now, out);
    expire_members(now);
    request_indirect_probes(now, out);
    run_probe_interval(now, out);
    notify_one_suspect(now, out);
    send_gossip(now, out);
    run_push_pull(now, out);
    return out;
}

// A process that did not run could not receive answers, so missing ones must not raise suspicions.
void Membership::handle_stall(Time now) {
    const auto gap = now - std::exchange(last_tick_, now);
    if (gap <= 2 * settings_.probe_interval)
        return;
    ++counters_.stalls;
    worsen_local_health();
    probe_.reset();
    relayed_probes_.clear();
    table_.postpone_suspicions(gap);
    next_probe_ = std::max(next_probe_, now);
}

void Membership::send_due_nacks(Time now, Outgoing& out) {
    for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
        const auto& relayed = it->second;
        if (relayed.deadline > now) {
            ++it;
            continue;
        }
        out.push_back({relayed.requester_address,
                       make_message(MembershipMessage::Kind::nack, relayed.requester_sequence)});
        it = relayed_probes_.erase(it);
    }
}

void Membership::expire_members(Time now) {
    for (const auto& name : table_.expired(now)) {
        MemberRecord record = table_.find(name)->record;
        if (record.state == MemberState::suspect) {
            record.reported_by = self().identity.name;
            declare_dead(std::move(record), now);
        } else {
            add_event(MembershipEvent::Kind::removed, record);
            gossip_.remove(name);
            table_.remove(name);
        }
    }
}

void Membership::request_indirect_probes(Time now, Outgoing& out) {
    if (!probe_ || probe_->acked || probe_->asked_helpers ||
        now < probe_->sent + scaled_by_local_health(settings_.probe_timeout))
        return;
    probe_->asked_helpers = true;
    const auto helpers = random_alive_members(settings_.indirect_probes, probe_->target);
    const auto* target = table_.find(probe_->target);
    if (!target || target->record.start != probe_->target_start)
        return;
    for (const auto* helper : helpers) {
        auto request = make_message(MembershipMessage::Kind::ping_req, probe_->sequence);
        request.target = probe_->target;
        request.target_address = target->record.identity.address;
        // Tells the helper which process of this name is meant.
        request.records.push_back(target->record);
        piggyback_gossip(request);
        out.push_back({helper->record.identity.address, std::move(request)});
        ++counters_.indirect_probes;
    }
    probe_->nacks_expected = helpers.size();
}

void Membership::run_probe_interval(Time now, Outgoing& out) {
    if (now < next_probe_)
        return;
    end_probe(now);
    start_probe(now, out);
    next_probe_ = now + scaled_by_local_health(settings_.probe_interval);
}

void Membership::end_probe(Time now) {
    const auto probe = std::exchange(probe_, std::nullopt);
    if (!probe || probe->acked)
        return;
    // If helpers sent no nack either, this router is probably the slow one, not the target (Lifeguard).
    if (probe->nacks < probe->nacks_expected)
        worsen_local_health();
    worsen_local_health();
    // The silence of a process says nothing of one that has taken its place.
    if (!is_probeable(probe->target) || table_.find(probe->target)->record.start != probe->target_start)
        return;
    // If the target is suspect already, this counts as an independent confirmation (Lifeguard).
    MemberRecord suspicion = table_.find(probe->target)->record;
    suspicion.state = MemberState::suspect;
    suspicion.reported_by = self().identity.name;
    merge(std::move(suspicion), now, false);
}

bool Membership::is_probeable(const std::string& name) const {
    const auto* member = table_.find(name);
    return member &&
           (member->record.state == MemberState::alive || member->record.state == MemberState::suspect);
}

// Starts a SWIM round: every member is probed once, in a new random order.
void Membership::start_probe_round() {
    probe_round_.clear();
    for (const auto& [name, member] : members())
        if (is_probeable(name))
            probe_round_.push_back(name);
    std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
    next_in_round_ = 0;
}

void Membership::start_probe(Time now, Outgoing& out) {
    while (next_in_round_ < probe_round_.size() && !is_probeable(probe_round_[next_in_round_]))
        ++next_in_round_;
    if (next_in_round_ >= probe_round_.size())
        start_probe_round();
    if (probe_round_.empty())
        return;
    const auto& target = table_.find(probe_round_[next_in_round_++])->record;
    const auto sequence = ++last_sequence_;
    auto ping = make_message(MembershipMessage::Kind::ping, sequence);
    ping.target = target.identity.name;
    // The probe informs a suspect of its suspicion, so that it can refute at once (Lifeguard's buddy system).
    if (target.state == MemberState::suspect)
        ping.records.push_back(target);
    piggyback_gossip(ping);
    probe_ = Probe{
        .target = target.identity.name, .target_start = target.start, .sequence = sequence, .sent = now};
    ++counters_.probes;
    out.push_back({target.identity.address, std::move(ping)});
}

// This router may have missed a refutation, and a round of probes takes long in a large fleet. So one suspect
// per probe interval is notified of its suspicion; its ack carries the refutation. A missing ack is ignored.
void Membership::notify_one_suspect(Time now, Outgoing& out) {
    if (now < next_suspect_notification_)
        return;
    next_suspect_notification_ = now + settings_.probe_interval;
    const auto suspects = table_.not_alive(MemberState::suspect);
    if (suspects.empty())
        return;
    const MemberRecord& suspect = *suspects[random_() % suspects.size()];
    auto ping = make_message(MembershipMessage::Kind::ping, ++last_sequence_);
    ping.target = suspect.identity.name;
    ping.records.push_back(suspect);
    out.push_back({suspect.identity.address, std::move(ping)});
}

void Membership::send_gossip(Time now, Outgoing& out) {
    if (now < next_gossip_)
        return;
    next_gossip_ = now + settings_.probe_interval / 5;
    if (gossip_.empty())
        return;
    for (const auto* member : random_alive_members(settings_.gossip_fanout, "")) {
        auto message = make_message(MembershipMessage::Kind::gossip, 0);
        piggyback_gossip(message);
        if (!message.records.empty())
            out.push_back({member->record.identity.address, std::move(message)});
    }
}

void Membership::run_push_pull(Time now, Outgoing& out) {
    if (now < next_push_pull_)
        return;
    if (const auto alive = random_alive_members(1, ""); !alive.empty())
        push_digest(alive.front()->record.identity.address, out);
    else if (!seeds_.empty())
        push_digest(seeds_[random_() % seeds_.size()], out);
    // After a partition each side considers the other dead, so one dead member is contacted too.
    if (const auto dead = table_.not_alive(MemberState::dead); !dead.empty())
        push_digest(dead[random_() % dead.size()]->identity.address, out);
    // While no member is known, retry after a probe interval: the seed may not have answered.
    const auto interval = members().empty() ? settings_.probe_interval : settings_.push_pull_interval;
    next_push_pull_ = now + interval * 3 / 4 + random_delay(random_, interval / 2);
}

void Membership::push_digest(const std::string& address, Outgoing& out) {
    if (address == self().identity.address)
        return;
    auto push = make_message(MembershipMessage::Kind::push, ++last_sequence_);
    push.digest = digest();
    ++counters_.pushes;
    out.push_back({address, std::move(push)});
}

// Members rarely join or recover one at a time (a rollout, a healed partition). The next push-pull is moved
// to within one and a half probe intervals, so that all views are complete after about log n push-pulls.
void Membership::schedule_early_push_pull(Time now) {
    const auto interval = settings_.probe_interval;
    next_push_pull_ = std::min(next_push_pull_, now + interval / 2 + random_delay(random_, interval));
}

// At most `count` distinct alive members other than `except`, chosen at random.
std::vector<const Member*> Membership::random_alive_members(std::size_t count, const std::string& except) {
    std::vector<const Member*> out;
    const auto add = [&](const std::string& name) {
        const auto* member = table_.find(name);
        if (member && name != except && member->record.state == MemberState::alive &&
            std::find(out.begin(), out.end(), member) == out.end())
            out.push_back(member);
    };
    // A few random draws from the probe round usually suffice, which avoids a pass over all members.
    for (std::size_t draws = 0; draws < 4 * count && !probe_round_.empty() && out.size() < count; ++draws)
        add(probe_round_[random_() % probe_round_.size()]);
    if (out.size() >= count)
        return out;
    std::vector<const std::string*> names;
    for (const auto& [name, member] : members())
        if (member.record.state == MemberState::alive)
            names.push_back(&name);
    std::shuffle(names.begin(), names.end(), random_);
    for (std::size_t i = 0; i < names.size() && out.size() < count; ++i)
        add(*names[i]);
    return out;
}

}  // namespace silverrail::cluster

#include "cluster/membership/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace silverrail::cluster {

namespace {

constexpr std::size_t kMaxRelayedProbes = 256;

bool is_push_or_pull(const MembershipMessage& message) {
    return message.kind == MembershipMessage::Kind::push || message.kind == MembershipMessage::Kind::pull;
}

bool within_bounds(const MembershipMessage& message) {
    return !message.sender.empty() && message.sender.size() <= kMaxNameLength &&
           message.sender_address.size() <= kMaxAddressLength && message.target.size() <= kMaxNameLength &&
           message.target_address.size() <= kMaxAddressLength &&
           message.records.size() <= MembershipMessage::kMaxRecords;
}

}  // namespace

Membership::Membership(MemberIdentity self, std::uint64_t start, const MembershipSettings& settings,
                       std::uint64_t random_seed, std::vector<std::string> seeds, Time now)
    : settings_(settings),
      random_(random_seed),
      seeds_(std::move(seeds)),
      table_({std::move(self), start, 0, MemberState::alive, {}}, settings),
      last_tick_(now),
      // Random offset within the first interval, so that members started together do not probe in lockstep.
      next_probe_(now + random_delay(random_, settings.probe_interval)),
      next_push_pull_(now),
      next_gossip_(now),
      next_suspect_notification_(now) {
    gossip_.enqueue(table_.self());
}

MembershipMessage Membership::make_message(MembershipMessage::Kind kind, std::uint32_t sequence) const {
    MembershipMessage out;
    out.kind = kind;
    out.sender = self().identity.name;
    out.sender_start = self().start;
    out.sender_address = self().identity.address;
    out.sequence = sequence;
    return out;
}

void Membership::piggyback_gossip(MembershipMessage& message) {
    const auto n = static_cast<double>(members().size() + 1);
    const auto limit = settings_.retransmit_mult * static_cast<std::size_t>(std::ceil(std::log10(n + 1)));
    const auto used = std::min(message.records.size(), settings_.gossip_per_message);
    // A message that already carries a record of a member must not carry a second one of the same member.
    const auto except = message.records.empty() ? std::string{} : message.records.front().identity.name;
    for (auto& record :
         gossip_.take(settings_.gossip_per_message - used, std::max<std::size_t>(limit, 1), except))
        message.records.push_back(std::move(record));
}

// Only this process raises its own incarnation, and no other process has its start. A record of this router
// that supersedes its own state is therefore forged.
bool Membership::acceptable(const MembershipMessage& message) const {
    const auto& own_name = self().identity.name;
    if (!within_bounds(message) || message.sender == own_name)
        return false;
    return std::all_of(message.records.begin(), message.records.end(), [&](const MemberRecord& record) {
        const bool forged = record.identity.name == own_name && supersedes(record, self());
        return within_bounds(record) && !forged;
    });
}

Membership::Outgoing Membership::receive(const MembershipMessage& message, Time now) {
    Outgoing out;
    if (has_left())
        return out;
    if (!acceptable(message)) {
        ++counters_.rejected;
        return out;
    }
    for (const auto& record : message.records)
        merge(record, now, is_push_or_pull(message));
    switch (message.kind) {
        case MembershipMessage::Kind::ping:
            on_ping(message, out);
            break;
        case MembershipMessage::Kind::ack:
            on_ack(message, out);
            break;
        case MembershipMessage::Kind::ping_req:
            on_ping_req(message, now, out);
            break;
        case MembershipMessage::Kind::nack:
            on_nack(message);
            break;
        case MembershipMessage::Kind::push:
            on_push(message, now, out);
            break;
        case MembershipMessage::Kind::pull:
            on_pull(message, now, out);
            break;
        case MembershipMessage::Kind::gossip:
            break;
    }
    return out;
}

void Membership::on_ping(const MembershipMessage& ping, Outgoing& out) {
    if (ping.target != self().identity.name)
        return;
    auto ack = make_message(MembershipMessage::Kind::ack, ping.sequence);
    // Informs a sender that is considered suspect or dead, so that it can refute.
    const auto* sender = table_.find(ping.sender);
    if (sender && sender->record.start == ping.sender_start &&
        (sender->record.state == MemberState::suspect || sender->record.state == MemberState::dead))
        ack.records.push_back(sender->record);
    piggyback_gossip(ack);
    out.push_back({ping.sender_address, std::move(ack)});
}

// An ack from the probed process itself, or from a helper that has checked that it was this process. A
// restarted process of the same name must not answer for the one before it.
bool Membership::is_ack_of_probe(const MembershipMessage& ack) const {
    if (!probe_ || probe_->acked || ack.sequence != probe_->sequence)
        return false;
    if (ack.sender == probe_->target)
        return ack.sender_start == probe_->target_start;
    return probe_->asked_helpers;
}

void Membership::on_ack(const MembershipMessage& ack, Outgoing& out) {
    if (is_ack_of_probe(ack)) {
        probe_->acked = true;
        ++counters_.acks;
        improve_local_health();
        return;
    }
    const auto relayed = relayed_probes_.find(ack.sequence);
    if (relayed == relayed_probes_.end() || ack.sender != relayed->second.target)
        return;
    const auto meant = relayed->second.target_start;
    if (meant != 0 && ack.sender_start != meant)
        return;
    auto answer = make_message(MembershipMessage::Kind::ack, relayed->second.requester_sequence);
    piggyback_gossip(answer);
    out.push_back({relayed->second.requester_address, std::move(answer)});
    relayed_probes_.erase(relayed);
}

void Membership::on_ping_req(const MembershipMessage& request, Time now, Outgoing& out) {
    if (relayed_probes_.size() >= kMaxRelayedProbes || request.target_address.empty())
        return;
    const auto sequence = ++last_sequence_;
    const auto meant = std::ranges::find_if(
        request.records, [&](const MemberRecord& record) { return record.identity.name == request.target; });
    relayed_probes_[sequence] = {.requester_address = request.sender_address,
                                 .requester_sequence = request.sequence,
                                 .target = request.target,
                                 .target_start = meant == request.records.end() ? 0 : meant->start,
                                 .deadline = now + scaled_by_local_health(settings_.probe_timeout)};
    auto ping = make_message(MembershipMessage::Kind::ping, sequence);
    ping.target = request.target;
    piggyback_gossip(ping);
    out.push_back({request.target_address, std::move(ping)});
}

void Membership::on_nack(const MembershipMessage& nack) {
    if (!probe_ || nack.sequence != probe_->sequence)
        return;
    ++probe_->nacks;
    ++counters_.nacks;
}

void Membership::on_push(const MembershipMessage& push, Time now, Outgoing& out) {
    if (!push.digest)
        return;
    if (diverged(digest(), *push.digest))
        schedule_early_push_pull(now);
    auto pull = make_message(MembershipMessage::Kind::pull, push.sequence);
    pull.digest = digest();
    pull.records = table_.records_differing_from(*push.digest);
    out.push_back({push.sender_address, std::move(pull)});
}

void Membership::on_pull(const MembershipMessage& pull, Time now, Outgoing& out) {
    if (!pull.digest)
        return;
    if (diverged(digest(), *pull.digest))
        schedule_early_push_pull(now);
    // The sender's records have been merged already, so it lacks whatever still differs.
    if (digest() == *pull.digest)
        return;
    auto push = make_message(MembershipMessage::Kind::push, ++last_sequence_);
    push.records = table_.records_differing_from(*pull.digest);
    if (!push.records.empty())
        out.push_back({pull.sender_address, std::move(push)});
}

Membership::Outgoing Membership::leave() {
    Outgoing out;
    if (has_left())
        return out;
    table_.update_self(self().incarnation, MemberState::left);
    gossip_.enqueue(self());
    for (const auto* member : random_alive_members(settings_.indirect_probes + 1, "")) {
        auto ping = make_message(MembershipMessage::Kind::ping, ++last_sequence_);
        ping.target = member->record.identity.name;
        ping.records.push_back(self());
        out.push_back({member->record.identity.address, std::move(ping)});
    }
    return out;
}

void Membership::worsen_local_health() {
    local_health_ = std::min(local_health_ + 1, settings_.max_local_health);
}

void Membership::improve_local_health() {
    if (local_health_ > 0)
        --local_health_;
}

std::vector<MembershipEvent> Membership::take_events() {
    return std::exchange(events_, {});
}

const char* name_of(MembershipEvent::Kind kind) {
    using Kind = MembershipEvent::Kind;
    switch (kind) {
        case Kind::join:
            return "join";
        case Kind::suspect:
            return "suspect";
        case Kind::refute:
            return "refute";
        case Kind::dead:
            return "dead";
        case Kind::left:
            return "left";
        case Kind::rejoin:
            return "rejoin";
        case Kind::recovered:
            return "recovered";
        case Kind::removed:
            return "removed";
    }
    return "?";
}

}  // namespace silverrail::cluster

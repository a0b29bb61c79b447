#include "cluster/membership/member_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace silverrail::cluster {

MemberTable::MemberTable(MemberRecord self, const MembershipSettings& settings)
    : self_(std::move(self)), settings_(settings) {
    add_to_summary(self_);
}

void MemberTable::add_to_summary(const MemberRecord& record) {
    ++count_by_state_[static_cast<std::size_t>(record.state)];
    digest_.toggle(record);
}

void MemberTable::remove_from_summary(const MemberRecord& record) {
    --count_by_state_[static_cast<std::size_t>(record.state)];
    digest_.toggle(record);
}

void MemberTable::update_self(std::uint64_t incarnation, MemberState state) {
    remove_from_summary(self_);
    self_.incarnation = incarnation;
    self_.state = state;
    add_to_summary(self_);
}

const Member* MemberTable::find(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<MemberRecord> MemberTable::records() const {
    std::vector<MemberRecord> out{self_};
    for (const auto& [name, member] : members_)
        out.push_back(member.record);
    return out;
}

std::vector<MemberRecord> MemberTable::records_differing_from(const MembershipDigest& other) const {
    std::vector<MemberRecord> out;
    const auto add_if_differing = [&](const MemberRecord& record) {
        const auto bucket = digest_bucket(record.identity.name);
        if (digest_.buckets[bucket] != other.buckets[bucket])
            out.push_back(record);
    };
    add_if_differing(self_);
    for (const auto& [name, member] : members_)
        add_if_differing(member.record);
    return out;
}

std::vector<const MemberRecord*> MemberTable::not_alive(MemberState state) const {
    std::vector<const MemberRecord*> out;
    for (const auto& name : with_deadline_)
        if (const auto& record = members_.at(name).record; record.state == state)
            out.push_back(&record);
    return out;
}

void MemberTable::update(const MemberRecord& record, Time now) {
    const auto& name = record.identity.name;
    const auto [entry, inserted] = members_.try_emplace(name);
    auto& member = entry->second;
    if (!inserted)
        remove_from_summary(member.record);
    member.record = record;
    add_to_summary(record);
    member.state_since = now;
    member.confirmers.clear();
    if (record.state == MemberState::alive) {
        with_deadline_.erase(name);
        return;
    }
    with_deadline_.insert(name);
    if (record.state == MemberState::suspect)
        member.confirmers.insert(record.reported_by);
    member.deadline = deadline_of(record.state, now);
    earliest_deadline_ = std::min(earliest_deadline_, member.deadline);
}

Time MemberTable::deadline_of(MemberState state, Time now) const {
    return now + (state == MemberState::suspect ? max_suspicion_timeout() : settings_.dead_retention);
}

void MemberTable::update_identity(const MemberIdentity& identity) {
    members_.at(identity.name).record.identity = identity;
}

void MemberTable::remove(const std::string& name) {
    remove_from_summary(members_.at(name).record);
    members_.erase(name);
    with_deadline_.erase(name);
}

bool MemberTable::confirm_suspicion(const std::string& name, const std::string& confirmer) {
    auto& member = members_.at(name);
    if (member.confirmers.contains(confirmer) || member.confirmers.size() > settings_.suspicion_confirmations)
        return false;
    member.confirmers.insert(confirmer);
    member.deadline = member.state_since + suspicion_timeout(member.confirmers.size() - 1);
    earliest_deadline_ = std::min(earliest_deadline_, member.deadline);
    return true;
}

void MemberTable::postpone_suspicions(Time by) {
    for (const auto& name : with_deadline_)
        if (auto& member = members_.at(name); member.record.state == MemberState::suspect)
            member.deadline += by;
}

std::vector<std::string> MemberTable::expired(Time now) {
    std::vector<std::string> out;
    if (earliest_deadline_ > now)
        return out;
    earliest_deadline_ = Time::max();
    for (const auto& name : with_deadline_) {
        const auto deadline = members_.at(name).deadline;
        if (deadline <= now)
            out.push_back(name);
        else
            earliest_deadline_ = std::min(earliest_deadline_, deadline);
    }
    return out;
}

Time MemberTable::min_suspicion_timeout() const {
    const auto n = static_cast<double>(count(MemberState::alive) + count(MemberState::suspect));
    const double factor = settings_.suspicion_mult * std::max(1.0, std::log10(std::max(1.0, n)));
    return Time{static_cast<Time::rep>(factor * static_cast<double>(settings_.probe_interval.count()))};
}

Time MemberTable::max_suspicion_timeout() const {
    return Time{static_cast<Time::rep>(settings_.suspicion_max_mult *
                                       static_cast<double>(min_suspicion_timeout().count()))};
}

// Falls logarithmically with the confirmations, from the maximum to the minimum timeout (Lifeguard).
Time MemberTable::suspicion_timeout(std::size_t confirmations) const {
    const auto enough = static_cast<double>(std::max<std::size_t>(1, settings_.suspicion_confirmations));
    const double share =
        std::min(1.0, std::log(static_cast<double>(confirmations) + 1) / std::log(enough + 1));
    const auto shortest = min_suspicion_timeout();
    const auto longest = max_suspicion_timeout();
    const auto range = static_cast<double>((longest - shortest).count());
    return std::max(shortest, longest - Time{static_cast<Time::rep>(share * range)});
}

}  // namespace silverrail::cluster

// The members that one router knows, with their states and the deadlines of those that are not alive.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/membership/member_record.h"
#include "cluster/membership/membership_digest.h"
#include "cluster/membership/membership_settings.h"
#include "cluster/time.h"

namespace silverrail::cluster {

struct Member {
    MemberRecord record;
    Time state_since{};                // when it came into its state here
    Time deadline{};                   // suspect: when it is declared dead; dead, left: when it is removed
    std::set<std::string> confirmers;  // suspect: who suspected it independently
};

class MemberTable {
public:
    MemberTable(MemberRecord self, const MembershipSettings& settings);

    // The router's own record: part of the counts and of the digest, not of `members`.
    const MemberRecord& self() const {
        return self_;
    }
    void update_self(std::uint64_t incarnation, MemberState state);

    const std::map<std::string, Member>& members() const {
        return members_;
    }
    const Member* find(const std::string& name) const;
    std::size_t count(MemberState state) const {
        return count_by_state_[static_cast<std::size_t>(state)];
    }
    const MembershipDigest& digest() const {
        return digest_;
    }
    // The records, the router's own first; `differing_from`: only those of buckets that differ from its.
    std::vector<MemberRecord> records() const;
    std::vector<MemberRecord> records_differing_from(const MembershipDigest& other) const;
    // The members in a state other than alive, by name.
    std::vector<const MemberRecord*> not_alive(MemberState state) const;

    // Replaces the member's record, or adds it, and starts its new state.
    void update(const MemberRecord& record, Time now);
    void update_identity(const MemberIdentity& identity);
    void remove(const std::string& name);

    // Counts an independent suspicion of a suspect, which shortens its wait (Lifeguard). False: it counts
    // already, or there are enough.
    bool confirm_suspicion(const std::string& name, const std::string& confirmer);
    void postpone_suspicions(Time by);
    // The members whose deadline has passed, by name.
    std::vector<std::string> expired(Time now);

    // The shortest and the longest suspicion at the fleet's size now.
    Time min_suspicion_timeout() const;
    Time max_suspicion_timeout() const;

private:
    void add_to_summary(const MemberRecord& record);
    void remove_from_summary(const MemberRecord& record);
    Time deadline_of(MemberState state, Time now) const;
    Time suspicion_timeout(std::size_t confirmations) const;

    MemberRecord self_;
    MembershipSettings settings_;
    std::map<std::string, Member> members_;
    std::set<std::string> with_deadline_;  // names of the members that are not alive
    std::array<std::size_t, kMemberStates> count_by_state_{};
    MembershipDigest digest_{};
    Time earliest_deadline_ = Time::max();  // no deadline is before it
};

}  // namespace silverrail::cluster

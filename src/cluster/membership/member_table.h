// The members that a router knows, their states, and the deadlines of those that are not alive.
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
    Time state_since{};                // when this router set the current state
    Time deadline{};                   // suspect: when it is declared dead; dead or left: when it is removed
    std::set<std::string> confirmers;  // suspect: the members that suspected it independently
};

class MemberTable {
public:
    MemberTable(MemberRecord self, const MembershipSettings& settings);

    // The router's own record. It is included in the counts and the digest, but not in `members`.
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
    // All records, the router's own first.
    std::vector<MemberRecord> records() const;
    // The records in the buckets where this table's digest differs from `other`.
    std::vector<MemberRecord> records_differing_from(const MembershipDigest& other) const;
    // The members in `state`, which must not be alive, ordered by name.
    std::vector<const MemberRecord*> not_alive(MemberState state) const;

    // Adds the member or replaces its record, and restarts the time in its state and its deadline.
    void update(const MemberRecord& record, Time now);
    void update_identity(const MemberIdentity& identity);
    void remove(const std::string& name);

    // Adds an independent suspicion of a suspect, which brings its deadline forward (Lifeguard). Returns
    // false if this confirmer has been counted already or the maximum number of confirmations is reached.
    bool confirm_suspicion(const std::string& name, const std::string& confirmer);
    void postpone_suspicions(Time by);
    // The names of the members whose deadline has passed.
    std::vector<std::string> expired(Time now);

    // The minimum and maximum suspicion timeout at the current size of the fleet.
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
    Time earliest_deadline_ = Time::max();  // a lower bound of all deadlines
};

}  // namespace silverrail::cluster

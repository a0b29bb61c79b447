// The fleet's membership: which routers are there, by SWIM's probes and gossip with Lifeguard's extensions.
//
// A state machine without I/O, clocks or threads: time comes in with every call, randomness from the seed
// given at construction, and every call returns the messages to send. The same inputs give the same outputs,
// so that the simulator (src/lab/fleet_sim) replays a run from its seed.
//
// Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002): one probe a period, k indirect probes, suspicion before death, piggybacked gossip.
// Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018):
// local health that stretches a slow member's own timeouts, nacks from indirect probers, suspicion that
// shortens with independent confirmations, the suspected member told at once (buddy).
//
// Differences from these (docs/design/fleet-view.md has the reasons):
// - A member is a name and a start: the process's start in Unix ms. A record of a later start supersedes any
//   of an earlier one, so a process restarted under the same name is a new member.
// - A call long after the one before (the process was stopped, or starved) is a stall of this router: probes
//   under way end without suspicion, and suspicion deadlines move on by the stall.
// - Push-pull also goes, each period, to one member held dead: so two halves of a healed partition find each
//   other without a restart.
// - An ack tells a member that is held suspect or dead so, and each period one suspect is told of its
//   suspicion: after a partition the refutations come at once.
// - Gossip does not wait for a probe: while there is any, it goes to some members each fifth of a period.
// - Push-pull compares digests first and carries only the records of buckets that differ, so that its load
//   does not grow with the fleet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/membership/gossip_queue.h"
#include "cluster/membership/member_record.h"
#include "cluster/membership/member_table.h"
#include "cluster/membership/membership_message.h"
#include "cluster/membership/membership_settings.h"
#include "cluster/time.h"

namespace silverrail::cluster {

// A change of the membership, for the log and the simulator.
struct MembershipEvent {
    enum class Kind : std::uint8_t { join, suspect, refute, dead, left, rejoin, recovered, removed };
    Kind kind;
    std::string member;
    std::uint64_t incarnation = 0;
    std::string reported_by;
    bool operator==(const MembershipEvent&) const = default;
};
const char* name_of(MembershipEvent::Kind kind);

// What this router has seen and done, since its start.
struct MembershipCounters {
    std::uint64_t probes = 0;
    std::uint64_t acks = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t nacks = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t stalls = 0;
    std::uint64_t rejected = 0;  // messages that break a rule, and members beyond the most
    std::uint64_t pushes = 0;
};

class Membership {
public:
    using Outgoing = std::vector<OutgoingMembershipMessage>;

    // `start`: this process's start, Unix ms; `seeds`: addresses that are pushed to while no member is known.
    Membership(MemberIdentity self, std::uint64_t start, const MembershipSettings& settings,
               std::uint64_t random_seed, std::vector<std::string> seeds, Time now);

    // Does what is due: probes and their ends, suspicions that ran out, gossip, push-pull, removal.
    Outgoing tick(Time now);
    // Takes in a peer's message. One that breaks a rule is rejected whole, and counted.
    Outgoing receive(const MembershipMessage& message, Time now);
    // Announces a planned leave to a few members, so that it is not taken for a failure. Final.
    Outgoing leave();

    // The other members by name.
    const std::map<std::string, Member>& members() const {
        return table_.members();
    }
    const MemberRecord& self() const {
        return table_.self();
    }
    // The records of all members, this router's first.
    std::vector<MemberRecord> records() const {
        return table_.records();
    }
    std::size_t count(MemberState state) const {
        return table_.count(state);
    }
    const MembershipDigest& digest() const {
        return table_.digest();
    }
    Time min_suspicion_timeout() const {
        return table_.min_suspicion_timeout();
    }
    Time max_suspicion_timeout() const {
        return table_.max_suspicion_timeout();
    }
    // Lifeguard's local health: 0 is healthy.
    std::size_t local_health() const {
        return local_health_;
    }
    // Records still to be spread.
    std::size_t pending_gossip() const {
        return gossip_.size();
    }
    const MembershipCounters& counters() const {
        return counters_;
    }
    // The events since the last call, oldest first; those beyond a bound are dropped.
    std::vector<MembershipEvent> take_events();

private:
    struct Probe {
        std::string target;
        std::uint32_t sequence = 0;
        Time sent{};
        bool asked_helpers = false;
        std::size_t nacks_expected = 0;
        std::size_t nacks = 0;
        bool acked = false;
    };
    // A probe done on behalf of another member.
    struct RelayedProbe {
        std::string requester_address;
        std::uint32_t requester_sequence = 0;
        Time deadline{};
    };

    // Messages (membership.cpp).
    MembershipMessage make_message(MembershipMessage::Kind kind, std::uint32_t sequence) const;
    void piggyback_gossip(MembershipMessage& message);
    bool acceptable(const MembershipMessage& message) const;
    void on_ping(const MembershipMessage& ping, Outgoing& out);
    void on_ack(const MembershipMessage& ack, Outgoing& out);
    void on_ping_req(const MembershipMessage& request, Time now, Outgoing& out);
    void on_nack(const MembershipMessage& nack);
    void on_push(const MembershipMessage& push, Time now, Outgoing& out);
    void on_pull(const MembershipMessage& pull, Time now, Outgoing& out);

    // Periodic work (membership_periodic.cpp).
    void absorb_stall(Time now);
    void send_due_nacks(Time now, Outgoing& out);
    void expire_members(Time now);
    void request_indirect_probes(Time now, Outgoing& out);
    void run_probe_period(Time now, Outgoing& out);
    void end_probe(Time now);
    void start_probe(Time now, Outgoing& out);
    bool is_probeable(const std::string& member) const;
    void start_probe_round();
    void notify_one_suspect(Time now, Outgoing& out);
    void send_gossip(Time now, Outgoing& out);
    void run_push_pull(Time now, Outgoing& out);
    void push_digest(const std::string& address, Outgoing& out);
    void hasten_push_pull(Time now);
    std::vector<const Member*> random_alive_members(std::size_t count, const std::string& except);

    // The rules by which a record changes the view (membership_merge.cpp).
    void merge(MemberRecord record, Time now, bool from_push_pull);
    void merge_about_self(const MemberRecord& record);
    void merge_new_member(const MemberRecord& record, Time now);
    void merge_alive(const Member& held, const MemberRecord& record, Time now);
    void merge_suspicion(const Member& held, const MemberRecord& record, Time now);
    void merge_end(const Member& held, const MemberRecord& record, Time now);
    void declare_dead(MemberRecord record, Time now);
    void adopt(const MemberRecord& record, Time now);
    void add_event(MembershipEvent::Kind kind, const MemberRecord& record);

    bool has_left() const {
        return self().state == MemberState::left;
    }
    void worsen_local_health();
    void improve_local_health();
    // A timeout or period of our own, longer the worse the local health is (Lifeguard).
    Time stretched(Time span) const {
        return span * static_cast<Time::rep>(local_health_ + 1);
    }

    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    MemberTable table_;
    GossipQueue gossip_;
    std::vector<std::string> probe_round_;  // SWIM's shuffled round of targets
    std::size_t next_in_round_ = 0;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, RelayedProbe> relayed_probes_;  // by our sequence number
    std::uint32_t last_sequence_ = 0;
    std::size_t local_health_ = 0;
    Time last_tick_;
    Time next_probe_;
    Time next_push_pull_;
    Time next_gossip_;
    Time next_suspect_notice_;
    MembershipCounters counters_;
    std::vector<MembershipEvent> events_;
};

}  // namespace silverrail::cluster

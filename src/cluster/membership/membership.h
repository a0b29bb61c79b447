// Fleet membership: SWIM failure detection and gossip, with the extensions of Lifeguard.
//
// A state machine without I/O, clocks or threads: the caller passes the time, random numbers come from the
// seed given at construction, and each call returns the messages to send. The same inputs give the same
// outputs, so the simulator (src/lab/membership_simulation) can replay a run from its seed.
//
// Sources:
// - Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//   Protocol" (DSN 2002): one probe per protocol period, k indirect probes, suspicion before a member is
//   declared dead, piggybacked gossip.
// - Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018):
//   a local health score that lengthens a slow member's own timeouts, nacks from indirect probes, suspicion
//   timeouts that shrink with independent confirmations, notice to the suspected member (buddy system).
//
// Differences from these (docs/design/fleet-view.md has the reasons):
// - A member is identified by its name and the start of its process in Unix ms. A record with a later start
//   supersedes any with an earlier one, so a process restarted under the same name is a new member.
// - If the time between two ticks is too long (the process was stopped or got no CPU), this router stalled:
//   the pending probe ends without a suspicion, and suspicion deadlines move by the length of the stall.
// - Each push-pull round also contacts one member that is considered dead, so that the two sides of a healed
//   partition find each other without a restart.
// - An ack informs its receiver if it is considered suspect or dead, and each probe interval one suspect is
//   notified of its suspicion, so that refutations arrive soon after a partition heals.
// - Gossip is also sent independently of probes: to a few members every fifth of a probe interval, while the
//   queue is not empty.
// - Push-pull compares digests first and transfers only the records of buckets that differ, so that its load
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

// A membership change, for the log and the simulator.
struct MembershipEvent {
    enum class Kind : std::uint8_t { join, suspect, refute, dead, left, rejoin, recovered, removed };
    Kind kind;
    std::string member;
    std::uint64_t incarnation = 0;
    std::string reported_by;
    bool operator==(const MembershipEvent&) const = default;
};
const char* name_of(MembershipEvent::Kind kind);

// Counters of this router since its start.
struct MembershipCounters {
    std::uint64_t probes = 0;
    std::uint64_t acks = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t nacks = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
    std::uint64_t deaths = 0;
    std::uint64_t stalls = 0;
    std::uint64_t rejected = 0;  // invalid messages, and members beyond max_members
    std::uint64_t pushes = 0;
};

class Membership {
public:
    using Outgoing = std::vector<OutgoingMembershipMessage>;

    // `start`: start of this process, Unix ms. `seeds`: addresses for push-pull while no member is alive.
    Membership(MemberIdentity self, std::uint64_t start, const MembershipSettings& settings,
               std::uint64_t random_seed, std::vector<std::string> seeds, Time now);

    // Does the periodic work that is due: probes, suspicion timeouts, gossip, push-pull, removal of records.
    Outgoing tick(Time now);
    // Processes a peer's message. An invalid message is counted and rejected as a whole.
    Outgoing receive(const MembershipMessage& message, Time now);
    // Announces a planned leave to a few members, so that it is not taken for a failure. Afterwards the
    // object neither sends nor processes messages.
    Outgoing leave();

    // The other members, by name.
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
    // Lifeguard's local health score: 0 is healthy.
    std::size_t local_health() const {
        return local_health_;
    }
    // The number of records in the gossip queue.
    std::size_t pending_gossip() const {
        return gossip_.size();
    }
    const MembershipCounters& counters() const {
        return counters_;
    }
    // The events since the last call, oldest first. At most kMaxEvents (membership_merge.cpp) are kept, the
    // later ones are dropped.
    std::vector<MembershipEvent> take_events();

private:
    struct Probe {
        std::string target;
        std::uint64_t target_start = 0;
        std::uint32_t sequence = 0;
        Time sent{};
        bool asked_helpers = false;
        std::size_t nacks_expected = 0;
        std::size_t nacks = 0;
        bool acked = false;
    };
    // A probe on behalf of another member, in answer to its ping_req.
    struct RelayedProbe {
        std::string requester_address;
        std::uint32_t requester_sequence = 0;
        std::string target;
        std::uint64_t target_start = 0;  // 0: the requester did not tell which process it means
        Time deadline{};
    };

    // Sending and receiving (membership.cpp).
    MembershipMessage make_message(MembershipMessage::Kind kind, std::uint32_t sequence) const;
    void piggyback_gossip(MembershipMessage& message);
    bool acceptable(const MembershipMessage& message) const;
    bool is_ack_of_probe(const MembershipMessage& ack) const;
    void on_ping(const MembershipMessage& ping, Outgoing& out);
    void on_ack(const MembershipMessage& ack, Outgoing& out);
    void on_ping_req(const MembershipMessage& request, Time now, Outgoing& out);
    void on_nack(const MembershipMessage& nack);
    void on_push(const MembershipMessage& push, Time now, Outgoing& out);
    void on_pull(const MembershipMessage& pull, Time now, Outgoing& out);

    // Periodic work (membership_periodic.cpp).
    void handle_stall(Time now);
    void send_due_nacks(Time now, Outgoing& out);
    void expire_members(Time now);
    void request_indirect_probes(Time now, Outgoing& out);
    void run_probe_interval(Time now, Outgoing& out);
    void end_probe(Time now);
    void start_probe(Time now, Outgoing& out);
    bool is_probeable(const std::string& member) const;
    void start_probe_round();
    void notify_one_suspect(Time now, Outgoing& out);
    void send_gossip(Time now, Outgoing& out);
    void run_push_pull(Time now, Outgoing& out);
    void push_digest(const std::string& address, Outgoing& out);
    void schedule_early_push_pull(Time now);
    std::vector<const Member*> random_alive_members(std::size_t count, const std::string& except);

    // The rules by which a record changes the view (membership_merge.cpp).
    void merge(MemberRecord record, Time now, bool from_push_pull);
    void merge_about_self(const MemberRecord& record);
    void merge_new_member(const MemberRecord& record, Time now);
    void merge_alive(const Member& held, const MemberRecord& record, Time now);
    void merge_suspicion(const Member& held, const MemberRecord& record, Time now);
    void merge_dead_or_left(const Member& held, const MemberRecord& record, Time now);
    void declare_dead(MemberRecord record, Time now);
    void apply_record(const MemberRecord& record, Time now);
    void add_event(MembershipEvent::Kind kind, const MemberRecord& record);

    bool has_left() const {
        return self().state == MemberState::left;
    }
    void worsen_local_health();
    void improve_local_health();
    // This router's own timeout or interval, multiplied by its local health score plus one (Lifeguard).
    Time scaled_by_local_health(Time span) const {
        return span * static_cast<Time::rep>(local_health_ + 1);
    }

    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    MemberTable table_;
    GossipQueue gossip_;
    std::vector<std::string> probe_round_;  // the members in this round's random order (SWIM)
    std::size_t next_in_round_ = 0;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, RelayedProbe> relayed_probes_;  // by the sequence number of this router's ping
    std::uint32_t last_sequence_ = 0;
    std::size_t local_health_ = 0;
    Time last_tick_;
    Time next_probe_;
    Time next_push_pull_;
    Time next_gossip_;
    Time next_suspect_notification_;
    MembershipCounters counters_;
    std::vector<MembershipEvent> events_;
};

}  // namespace silverrail::cluster

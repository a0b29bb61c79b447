// The fleet's view of itself: who is there, by SWIM's probes and gossip with Lifeguard's extensions.
//
// A state machine without I/O, clocks or threads: time comes in with every call, randomness from the seed
// given at construction, and every call returns the messages to send. The same inputs give the same outputs,
// which is what lets the simulator (src/lab/fleet_sim) replay a run from its seed.
//
// Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (DSN 2002): one probe a period, k indirect probes, suspicion before death, piggybacked gossip.
// Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018):
// local health that stretches a slow member's own timeouts, nacks from indirect probers, suspicion that
// shortens with independent confirmations, the suspected member told at once (buddy).
//
// What this adds of its own (docs/design/fleet-view.md says why):
// - A member is a name and a start: the program's start in Unix ms. A record of a later start supersedes any
//   of an earlier one, so a process restarted with the same name is a new member, never the old one refuting.
// - A call that comes long after the one before (the process was stopped, or starved) is a stall of our own:
//   probes then under way end without suspicion, and suspicion deadlines move on by the stall.
// - Push-pull also goes, each period, to one member held dead: that is how two halves of a healed partition
//   find each other without a restart.
// - Whoever hears from a member that it holds suspect or dead tells it so in the ack, and each period a
// suspect
//   is told by everybody who holds it so: after a cut the refutes come at once, not a round of probes later.
// - News does not wait for a probe: while there is any, it is told to two members each fifth of a period.
// - Push-pull compares digests first and carries only the records of buckets that differ, so that its load
//   stays flat as the fleet grows.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace silverrail::cluster {

// Milliseconds on a steady clock, from any start.
using Time = std::chrono::milliseconds;

// Drawn evenly from 0 to below `span`, so that many routers do not act in step.
inline Time within(std::mt19937_64& dice, Time span) {
    return Time{
        static_cast<Time::rep>(dice() % static_cast<std::uint64_t>(std::max<Time::rep>(1, span.count())))};
}

enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);

// Bounds on what a member may be called; a record beyond them is refused where it comes in.
inline constexpr std::size_t kLongestName = 64;
inline constexpr std::size_t kLongestAddress = 64;
inline constexpr std::size_t kLongestPlace = 32;  // zone and region

struct Identity {
    std::string name;     // unique in the fleet
    std::string address;  // where its peer port is, "host:port"; opaque here
    std::string zone;
    std::string region;
    bool operator==(const Identity&) const = default;
};

// One member as gossip and push-pull carry it.
struct Record {
    Identity who;
    std::uint64_t start = 0;        // the process's start, Unix ms: tells one run from the next
    std::uint64_t incarnation = 0;  // raised by the member alone, to refute a suspicion
    State state = State::alive;
    std::string by;  // who suspected or declared it dead; empty for alive and left
    bool operator==(const Record&) const = default;
};

// True when a record of these two numbers supersedes one of those (SWIM's order, with the start first).
bool newer(std::uint64_t start, std::uint64_t incarnation, std::uint64_t than_start,
           std::uint64_t than_incarnation);

// What a view holds, in short, over its members that are alive or suspect: the XOR of hashes of (name,
// start), and for each bucket of names of (name, start, incarnation). Equal views have equal digests whatever
// order they were learned in. The dead and the left are not in it, as each member forgets those in its own
// time.
inline constexpr std::size_t kBuckets = 64;
struct Digest {
    std::uint64_t roster = 0;  // who is there; differs only while somebody comes or goes
    std::array<std::uint64_t, kBuckets> buckets{};
    bool operator==(const Digest&) const = default;
};

struct Message {
    enum class Kind : std::uint8_t {
        ping,      // are you there? `target` names who it is meant for
        ack,       // yes (or: the member you asked me to probe is)
        ping_req,  // probe `target` at `target_address` for me
        nack,      // I asked as you wanted and heard nothing (Lifeguard: the asker is not the slow one)
        push,      // with a digest: answer with what differs; without: what you lack (over a stream)
        pull,      // the answer to a push with a digest: my digest, and my records of buckets that differ
        gossip,    // news alone, not waiting for a probe
    };
    static constexpr std::size_t kMostRecords = 4096;  // in one push or pull; far fewer in a datagram
    Kind kind = Kind::ping;
    std::string from;  // sender's name
    std::uint64_t from_start = 0;
    std::string from_address;  // where to answer
    std::uint32_t seq = 0;
    std::string target;
    std::string target_address;
    std::vector<Record> records;   // gossip piggybacked, or what differs for push and pull
    std::optional<Digest> digest;  // push and pull only
    bool operator==(const Message&) const = default;
};
const char* name_of(Message::Kind kind);

// A message to send: to an address, and over a stream (push, pull) or as a datagram.
struct Send {
    std::string address;
    Message message;
    bool stream() const {
        return message.kind == Message::Kind::push || message.kind == Message::Kind::pull;
    }
};

struct Event {
    enum class Kind : std::uint8_t { join, suspect, refute, dead, left, rejoin, alive_again, forgotten };
    Kind kind;
    std::string name;
    std::uint64_t incarnation = 0;
    std::string by;
    bool operator==(const Event&) const = default;
};
const char* name_of(Event::Kind kind);

// Periods and factors; the defaults are memberlist's for a local network.
struct Settings {
    Time probe_interval{1000};
    Time probe_timeout{500};
    std::size_t indirect_probes = 3;
    std::size_t retransmit_mult = 4;          // a change is told about retransmit_mult * log10(n + 1) times
    double suspicion_mult = 4;                // shortest suspicion: this * max(1, log10 n) * probe_interval
    double suspicion_max_mult = 6;            // longest: this * the shortest, with no confirmation
    std::size_t suspicion_confirmations = 3;  // after so many independent ones, the shortest applies
    std::size_t most_health = 8;              // Lifeguard's local health multiplier: 0 (well) to this
    Time push_pull_interval{30000};
    Time dead_keep{60000};                // then a dead or left record is forgotten
    std::size_t gossip_per_message = 14;  // records piggybacked on one datagram
    std::size_t gossip_fanout = 2;  // members told of news each fifth of a probe interval, while there is any
    std::size_t most_members = 4096;
};

// What one member has seen and done; all counts since start.
struct Counts {
    std::uint64_t probes = 0, acks = 0, indirect = 0, nacks = 0, suspicions = 0, refuted = 0, deaths = 0;
    std::uint64_t stalls = 0, refused = 0, pushes = 0;
};

class Members {
public:
    struct Member {
        Record record;
        Time since{};     // when it came into its state here
        Time deadline{};  // suspect: when it is declared dead; dead, left: when forgotten
        std::set<std::string>
            confirmers;  // suspect: who suspected it independently, at most the confirmations
    };

    // `start` is this process's start in Unix ms; `seeds` are addresses to push to while the view is empty.
    Members(Identity self, std::uint64_t start, Settings settings, std::uint64_t seed,
            std::vector<std::string> seeds, Time now);

    // Each period's work: probes, their ends, suspicions that ran out, push-pull, forgetting.
    std::vector<Send> tick(Time now);
    // A message from a peer. A record that breaks a rule is refused and counted, the rest applied.
    std::vector<Send> receive(const Message& message, Time now);
    // A planned leave: told to a few, so that nobody takes it for a failure.
    std::vector<Send> leave(Time now);

    const std::map<std::string, Member>& view() const {
        return members_;
    }
    const Record& self() const {
        return self_;
    }
    std::size_t health() const {
        return health_;
    }
    const Counts& counts() const {
        return counts_;
    }
    std::size_t count(State state) const {
        return by_state_[static_cast<std::size_t>(state)];
    }
    const Digest& digest() const {
        return digest_;
    }
    std::size_t rumours() const {
        return rumours_.size();
    }  // still being told
    // Events since the last call, oldest first; at most 1024 are kept between calls.
    std::vector<Event> take_events();
    // The whole view as records, self included.
    std::vector<Record> records() const;
    // The shortest and the longest suspicion for the view's size now.
    Time suspicion_floor() const;
    Time suspicion_ceiling() const;

private:
    struct Probe {
        std::string target;
        std::uint32_t seq = 0;
        Time sent{};
        bool asked_others = false;
        std::size_t nacks_expected = 0, nacks = 0;
        bool done = false;
    };
    struct Relay {  // a probe done for another member
        std::string asker_address;
        std::uint32_t asker_seq = 0;
        Time deadline{};
    };
    // Fewest told first, then the newest: the order in which rumours are piggybacked.
    struct RetentionPriority {
        std::size_t told = 0;
        std::uint64_t later = 0;  // counts down as rumours come in
        auto operator<=>(const RetentionPriority&) const = default;
    };

    Message message(Message::Kind kind, std::uint32_t seq);
    void piggyback(Message& out);
    void spread(const Record& record);
    void apply(Record record, Time now, bool from_push);
    void about_self(const Record& record);
    void set(Member& member, const Record& record, Time now);
    void tally(const Record& record, bool in);
    std::vector<Record> differing(const Digest& other) const;
    void event(Event::Kind kind, const Record& record);
    void end_probe(Time now, std::vector<Send>& out);
    void start_probe(Time now, std::vector<Send>& out);
    void recheck(std::vector<Send>& out);
    void push_pull(std::vector<Send>& out);
    void soon(Time now);
    void raise_health() {
        health_ = std::min(health_ + 1, settings_.most_health);
    }
    void lower_health() {
        health_ = health_ > 0 ? health_ - 1 : 0;
    }
    Time stretched(Time span) const {
        return span * static_cast<Time::rep>(health_ + 1);
    }
    bool fits(const Record& record) const;
    std::vector<const Member*> some(std::size_t n, const std::string& except);

    Record self_;
    Settings settings_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    std::map<std::string, Member> members_;
    std::set<std::string> waiting_;  // members with a deadline: suspect, dead, left
    std::array<std::size_t, 4> by_state_{};
    Digest digest_{};
    std::map<RetentionPriority, Record> rumours_;
    std::map<std::string, RetentionPriority> ranks_;  // where a member's rumour stands
    std::uint64_t later_ = UINT64_MAX;
    std::vector<std::string> round_;  // SWIM's shuffled round of probe targets
    std::size_t next_ = 0;
    std::optional<Probe> probe_;
    std::optional<Record> pending_suspicion_;  // a probe that failed, applied before the next begins
    std::map<std::uint32_t, Relay> relays_;
    std::uint32_t seq_ = 0;
    std::size_t health_ = 0;
    Time last_call_;
    Time next_probe_;
    Time next_push_;
    Time next_gossip_;
    Time next_recheck_;
    Time earliest_ = Time::max();  // no deadline of a waiting member is before it
    Counts counts_;
    std::vector<Event> events_;
};

}  // namespace silverrail::cluster

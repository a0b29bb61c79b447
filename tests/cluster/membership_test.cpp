// The membership protocol: every transition of a record by a table, then probes, suspicion, refutations,
// stalls and a small fleet with messages delivered by hand.
#include "cluster/membership/membership.h"

#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "../silverrail/check.h"

using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

using Kind = MembershipMessage::Kind;
using EventKind = MembershipEvent::Kind;
using Sent = std::vector<OutgoingMembershipMessage>;

MemberIdentity identity_of(const std::string& name) {
    return {name, name + ":7946", "z1", "r1"};
}

MembershipSettings fast_settings() {
    MembershipSettings settings;
    settings.probe_interval = 100ms;
    settings.probe_timeout = 40ms;
    settings.push_pull_interval = 10'000ms;
    settings.dead_retention = 5'000ms;
    return settings;
}

MembershipMessage message_from(const std::string& name, Kind kind, std::vector<MemberRecord> records,
                               std::uint32_t sequence = 1) {
    MembershipMessage message;
    message.kind = kind;
    message.sender = name;
    message.sender_start = 1;
    message.sender_address = name + ":7946";
    message.sequence = sequence;
    message.records = std::move(records);
    return message;
}

MemberRecord record(const std::string& name, std::uint64_t start, std::uint64_t incarnation,
                    MemberState state, const std::string& reported_by = "") {
    return {identity_of(name), start, incarnation, state, reported_by};
}

// The router "a" in its run `start`, that knows nobody.
Membership lone_membership(std::uint64_t start, const MembershipSettings& settings = fast_settings()) {
    return {identity_of("a"), start, settings, 7, {}, 0ms};
}

// The router "a" that knows these members to be alive.
Membership membership_with(const std::vector<std::string>& names,
                           const MembershipSettings& settings = fast_settings()) {
    Membership membership{identity_of("a"), 1, settings, 11, {}, 0ms};
    std::vector<MemberRecord> records;
    for (const auto& name : names)
        records.push_back(record(name, 1, 0, MemberState::alive));
    membership.receive(message_from("x", Kind::pull, records), 0ms);
    membership.take_events();
    return membership;
}

void receive_records(Membership& membership, std::vector<MemberRecord> records, Time now,
                     const std::string& sender = "x") {
    membership.receive(message_from(sender, Kind::ping, std::move(records)), now);
}

bool has_event(const std::vector<MembershipEvent>& events, EventKind kind, const std::string& member) {
    for (const auto& event : events)
        if (event.kind == kind && event.member == member)
            return true;
    return false;
}

MemberState state_of(const Membership& membership, const std::string& name) {
    return membership.members().at(name).record.state;
}

// Ticks each millisecond from `first` to `last`, and gathers what is sent.
Sent run_ticks(Membership& membership, Time first, Time last) {
    Sent all;
    for (Time now = first; now <= last; now += 1ms)
        for (auto& outgoing : membership.tick(now))
            all.push_back(std::move(outgoing));
    return all;
}

Sent of_kind(const Sent& sent, Kind kind) {
    Sent out;
    for (const auto& outgoing : sent)
        if (outgoing.message.kind == kind)
            out.push_back(outgoing);
    return out;
}

struct Transition {
    MemberRecord held;
    MemberRecord incoming;
    MemberState state;
    std::uint64_t incarnation;
    std::optional<EventKind> event;
};

// Every way a record held of a member meets one that comes in.
std::vector<Transition> transitions() {
    using S = MemberState;
    return {
        // alive held
        {record("b", 1, 3, S::alive),
         record("b", 1, 2, S::suspect, "c"),
         S::alive,
         3,
         {}},  // stale suspicion
        {record("b", 1, 3, S::alive), record("b", 1, 3, S::suspect, "c"), S::suspect, 3, EventKind::suspect},
        {record("b", 1, 3, S::alive), record("b", 1, 4, S::suspect, "c"), S::suspect, 4, EventKind::suspect},
        {record("b", 1, 3, S::alive), record("b", 1, 3, S::alive), S::alive, 3, {}},
        {record("b", 1, 3, S::alive), record("b", 1, 4, S::alive), S::alive, 4, {}},
        {record("b", 1, 3, S::alive), record("b", 1, 2, S::dead, "c"), S::alive, 3, {}},
        {record("b", 1, 3, S::alive), record("b", 1, 3, S::dead, "c"), S::dead, 3, EventKind::dead},
        {record("b", 1, 3, S::alive), record("b", 1, 3, S::left), S::left, 3, EventKind::left},
        // suspect held
        {record("b", 1, 3, S::suspect, "c"),
         record("b", 1, 3, S::alive),
         S::suspect,
         3,
         {}},  // no refute at the same
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 4, S::alive), S::alive, 4, EventKind::refute},
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 3, S::dead, "d"), S::dead, 3, EventKind::dead},
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 2, S::dead, "d"), S::suspect, 3, {}},
        // dead held
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 3, S::alive), S::dead, 3, {}},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 4, S::alive), S::alive, 4, EventKind::recovered},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 9, S::suspect, "d"), S::dead, 3, {}},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 3, S::left), S::dead, 3, {}},
        // left held
        {record("b", 1, 3, S::left), record("b", 1, 3, S::dead, "c"), S::left, 3, {}},
        {record("b", 1, 3, S::left), record("b", 1, 4, S::alive), S::alive, 4, EventKind::recovered},
        // a later run of the same name is a new member, whatever the old one's incarnation
        {record("b", 1, 9, S::dead, "c"), record("b", 2, 0, S::alive), S::alive, 0, EventKind::rejoin},
        {record("b", 1, 9, S::alive), record("b", 2, 0, S::alive), S::alive, 0, EventKind::rejoin},
        // an earlier run is gone for good
        {record("b", 2, 0, S::alive), record("b", 1, 9, S::dead, "c"), S::alive, 0, {}},
        {record("b", 2, 0, S::alive), record("b", 1, 9, S::alive), S::alive, 0, {}},
    };
}

void a_record_changes_the_view_by_the_table_of_transitions() {
    int row = 0;
    for (const auto& expected : transitions()) {
        ++row;
        auto membership = lone_membership(1);
        receive_records(membership,
                        {record("b", expected.held.start, expected.held.incarnation, MemberState::alive)},
                        0ms);
        if (expected.held.state != MemberState::alive)
            receive_records(membership, {expected.held}, 0ms);
        CHECK(state_of(membership, "b") == expected.held.state);
        membership.take_events();
        receive_records(membership, {expected.incoming}, 1ms);
        const auto& got = membership.members().at("b").record;
        const auto events = membership.take_events();
        if (got.state != expected.state || got.incarnation != expected.incarnation ||
            events.size() != (expected.event ? 1u : 0u) ||
            (expected.event && events.front().kind != *expected.event)) {
            std::fprintf(stderr, "row %d: %s/%llu, %zu events\n", row, name_of(got.state),
                         static_cast<unsigned long long>(got.incarnation), events.size());
            CHECK(false);
        }
    }
}

void nobody_joins_by_a_suspicion_or_a_death() {
    auto membership = lone_membership(1);
    receive_records(membership,
                    {record("q", 1, 0, MemberState::suspect, "x"), record("r", 1, 0, MemberState::dead, "x")},
                    0ms);
    CHECK(membership.members().empty());
    receive_records(membership, {record("q", 1, 0, MemberState::alive)}, 0ms);
    CHECK(membership.members().size() == 1 && has_event(membership.take_events(), EventKind::join, "q"));
}

// The router "a" in its run 5, which has refuted twice.
Membership membership_that_refuted_twice() {
    auto membership = lone_membership(5);
    receive_records(membership, {record("a", 5, 0, MemberState::suspect, "x")}, 0ms);
    CHECK(membership.self().incarnation == 1 && membership.self().state == MemberState::alive);
    CHECK(has_event(membership.take_events(), EventKind::refute, "a"));
    CHECK(membership.local_health() == 1);
    receive_records(membership, {record("a", 5, 1, MemberState::dead, "x")}, 0ms);
    CHECK(membership.self().incarnation == 2);
    return membership;
}

void a_refutation_goes_out_with_the_next_message() {
    auto membership = membership_that_refuted_twice();
    auto ping = message_from("x", Kind::ping, {});
    ping.target = "a";
    const auto out = membership.receive(ping, 1ms);
    CHECK(out.size() == 1 && out[0].message.kind == Kind::ack && out[0].address == "x:7946");
    bool refutes = false;
    for (const auto& sent : out[0].message.records)
        refutes |= sent.identity.name == "a" && sent.incarnation == 2;
    CHECK(refutes);
}

void a_message_with_a_forged_record_of_ourselves_is_rejected_whole() {
    auto membership = membership_that_refuted_twice();
    const MemberRecord forged[] = {record("a", 5, 7, MemberState::alive),
                                   record("a", 6, 0, MemberState::alive),
                                   record("a", 5, 9, MemberState::dead, "x")};
    for (const auto& ahead_of_us : forged) {
        const auto rejected = membership.counters().rejected;
        receive_records(membership, {record("z", 1, 0, MemberState::alive), ahead_of_us}, 2ms);
        CHECK(membership.counters().rejected == rejected + 1);
        CHECK(!membership.members().contains("z") && membership.self().incarnation == 2);
    }
}

void a_message_out_of_bounds_or_from_ourselves_is_rejected() {
    auto membership = lone_membership(5);
    const auto long_name = record(std::string(kMaxNameLength + 1, 'n'), 1, 0, MemberState::alive);
    auto long_zone = record("z", 1, 0, MemberState::alive);
    long_zone.identity.zone = std::string(kMaxZoneLength + 1, 'z');
    for (const auto& bad : {long_name, long_zone}) {
        const auto rejected = membership.counters().rejected;
        receive_records(membership, {bad}, 3ms);
        CHECK(membership.counters().rejected == rejected + 1 && membership.members().empty());
    }
    const auto rejected = membership.counters().rejected;
    receive_records(membership, {record("z", 1, 0, MemberState::alive)}, 3ms, "a");
    CHECK(membership.counters().rejected == rejected + 1 && !membership.members().contains("z"));
}

void a_record_of_an_earlier_run_of_ourselves_changes_nothing() {
    auto membership = membership_that_refuted_twice();
    receive_records(membership, {record("a", 4, 30, MemberState::dead, "x")}, 4ms);
    CHECK(membership.self().start == 5 && membership.self().incarnation == 2 &&
          membership.self().state == MemberState::alive);
}

// The target of the one probe sent in the first period.
std::string first_probe_target(Membership& membership) {
    const auto pings = of_kind(run_ticks(membership, 0ms, 99ms), Kind::ping);
    CHECK(pings.size() == 1);
    return pings[0].message.target;
}

// Four members, one of which answered no probe although three helpers tried; its name is in `target`.
Membership membership_with_a_suspect(std::string& target) {
    auto membership = membership_with({"b", "c", "d", "e"});
    target = first_probe_target(membership);
    const auto requests = of_kind(run_ticks(membership, 100ms, 150ms), Kind::ping_req);
    CHECK(requests.size() == 3);
    for (const auto& request : requests) {
        CHECK(request.message.target == target);
        const auto helper = request.address.substr(0, 1);
        membership.receive(message_from(helper, Kind::nack, {}, request.message.sequence), 151ms);
    }
    run_ticks(membership, 151ms, 260ms);
    return membership;
}

void an_unanswered_probe_leads_to_indirect_probes_and_a_suspicion() {
    std::string target;
    const auto membership = membership_with_a_suspect(target);
    CHECK(state_of(membership, target) == MemberState::suspect);
    CHECK(membership.members().at(target).record.reported_by == "a");
    CHECK(membership.local_health() == 1);  // for the failed probe; the helpers' nacks came
    CHECK(membership.min_suspicion_timeout() == 400ms);
    CHECK(membership.max_suspicion_timeout() == 6 * membership.min_suspicion_timeout());
}

void a_member_that_answers_probes_stays_alive() {
    auto membership = membership_with({"b"});
    for (const auto& ping : of_kind(run_ticks(membership, 0ms, 99ms), Kind::ping))
        membership.receive(message_from("b", Kind::ack, {}, ping.message.sequence), 50ms);
    run_ticks(membership, 100ms, 400ms);
    CHECK(state_of(membership, "b") != MemberState::dead && membership.counters().acks >= 1);
}

// Two of three confirmations give most of the way from the longest wait to the shortest.
void confirmations_shorten_a_suspicion_and_the_dead_are_removed_in_time() {
    std::string target;
    auto membership = membership_with_a_suspect(target);
    const auto since = membership.members().at(target).state_since;
    receive_records(membership, {record(target, 1, 0, MemberState::suspect, "c")}, since + 1ms, "c");
    receive_records(membership, {record(target, 1, 0, MemberState::suspect, "d")}, since + 2ms, "d");
    receive_records(membership, {record(target, 1, 0, MemberState::suspect, "d")}, since + 3ms, "d");
    const auto wait = membership.members().at(target).deadline - since;
    CHECK(wait < membership.max_suspicion_timeout() && wait > membership.min_suspicion_timeout());
    run_ticks(membership, 261ms, since + wait - 1ms);
    CHECK(state_of(membership, target) == MemberState::suspect);
    run_ticks(membership, since + wait, since + wait);
    CHECK(state_of(membership, target) == MemberState::dead);
    CHECK(has_event(membership.take_events(), EventKind::dead, target));
    run_ticks(membership, since + wait + 1ms, since + wait + 5'000ms);
    CHECK(!membership.members().contains(target));
}

MembershipMessage request_to_probe(const std::string& target) {
    auto request = message_from("b", Kind::ping_req, {}, 77);
    request.target = target;
    request.target_address = target + ":7946";
    return request;
}

void a_helper_passes_the_ack_back_under_the_requesters_number() {
    auto membership = membership_with({"b", "c"});
    auto out = membership.receive(request_to_probe("c"), 10ms);
    CHECK(out.size() == 1 && out[0].address == "c:7946" && out[0].message.kind == Kind::ping);
    const auto sequence = out[0].message.sequence;
    out = membership.receive(message_from("c", Kind::ack, {}, sequence), 20ms);
    CHECK(out.size() == 1 && out[0].address == "b:7946" && out[0].message.kind == Kind::ack &&
          out[0].message.sequence == 77);
}

void a_helper_without_an_ack_sends_one_nack_at_the_timeout() {
    auto membership = membership_with({"b", "c"});
    membership.receive(request_to_probe("c"), 30ms);
    bool nacked = false;
    for (Time now = 31ms; now <= 200ms; now += 1ms)
        for (const auto& nack : of_kind(membership.tick(now), Kind::nack)) {
            CHECK(!nacked && nack.message.sequence == 77 && nack.address == "b:7946" && now <= 71ms);
            nacked = true;
        }
    CHECK(nacked);
}

// As after SIGSTOP: three seconds between two ticks.
void a_stall_of_our_own_blames_nobody_and_postpones_suspicions() {
    auto membership = membership_with({"b", "c", "d"});
    run_ticks(membership, 0ms, 110ms);  // a probe is under way
    receive_records(membership, {record("d", 1, 0, MemberState::suspect, "c")}, 110ms, "c");
    const auto deadline = membership.members().at("d").deadline;
    membership.tick(3'110ms);
    CHECK(membership.counters().stalls == 1);
    for (const auto& [name, member] : membership.members())
        CHECK(name == "d" || member.record.state == MemberState::alive);
    CHECK(membership.members().at("d").deadline >= deadline + 2'900ms);
    CHECK(state_of(membership, "d") == MemberState::suspect);
}

void a_death_in_a_full_view_is_taken_for_a_suspicion() {
    auto membership = membership_with({"b", "c"});
    const auto out = membership.receive(
        message_from("b", Kind::push,
                     {record("c", 1, 0, MemberState::dead, "b"), record("e", 1, 0, MemberState::alive)}),
        5ms);
    CHECK(out.empty());
    CHECK(state_of(membership, "c") == MemberState::suspect &&
          state_of(membership, "e") == MemberState::alive);
}

// The members "b" and "e" alive and "c" suspect.
Membership membership_with_a_suspect_c() {
    auto membership = membership_with({"b", "c"});
    membership.receive(
        message_from("b", Kind::push,
                     {record("c", 1, 0, MemberState::dead, "b"), record("e", 1, 0, MemberState::alive)}),
        5ms);
    return membership;
}

MembershipMessage push_with(const MembershipDigest& digest) {
    auto push = message_from("b", Kind::push, {});
    push.digest = digest;
    return push;
}

void a_push_is_answered_with_the_records_that_differ() {
    auto membership = membership_with_a_suspect_c();
    auto out = membership.receive(push_with(MembershipDigest{}), 6ms);
    CHECK(out.size() == 1 && out[0].stream() && out[0].message.kind == Kind::pull);
    CHECK(out[0].message.records.size() == 4 && out[0].message.digest == membership.digest());
    out = membership.receive(push_with(membership.digest()), 7ms);
    CHECK(out.size() == 1 && out[0].message.records.empty());
}

void a_push_pull_ends_with_equal_views() {
    auto membership = membership_with_a_suspect_c();
    auto twin = membership_with({"b", "c", "e"});
    CHECK(twin.digest() == membership.digest());  // suspect or alive, in another order: the same view
    receive_records(twin, {record("e", 2, 0, MemberState::alive)}, 7ms);
    auto out = membership.receive(push_with(twin.digest()), 8ms);
    CHECK(out.size() == 1 && !out[0].message.records.empty() && out[0].message.records.size() < 4);
    bool has_e = false;
    for (const auto& sent : out[0].message.records)
        has_e |= sent.identity.name == "e";
    CHECK(has_e);
    // The twin sends back what the other lacks, once, without a digest.
    out[0].message.sender = "y";  // both are called "a" here, and nobody takes a message from itself
    out = twin.receive(out[0].message, 9ms);
    CHECK(out.size() == 1 && out[0].message.kind == Kind::push && !out[0].message.digest);
    out[0].message.sender = "y";
    out = membership.receive(out[0].message, 10ms);
    CHECK(out.empty() && membership.digest() == twin.digest());
}

void push_pull_also_asks_a_member_held_dead() {
    auto settings = fast_settings();
    settings.push_pull_interval = 50ms;
    auto membership = membership_with({"b", "c"}, settings);
    receive_records(membership, {record("c", 1, 0, MemberState::dead, "b")}, 1ms, "b");
    std::set<std::string> pushed;
    for (const auto& push : of_kind(run_ticks(membership, 1ms, 60ms), Kind::push))
        pushed.insert(push.address);
    CHECK(pushed.contains("c:7946") && pushed.contains("b:7946"));
}

void a_lone_member_pushes_to_a_seed_and_soon_again() {
    Membership lone{identity_of("a"), 1, fast_settings(), 3, {"seed:1"}, 0ms};
    const auto first = lone.tick(0ms);
    CHECK(first.size() == 1 && first[0].address == "seed:1" && first[0].message.digest &&
          first[0].message.records.empty());
    CHECK(of_kind(run_ticks(lone, 1ms, 130ms), Kind::push).size() == 1);
}

void a_full_view_takes_in_nobody_else() {
    auto settings = fast_settings();
    settings.max_members = 2;
    auto membership = lone_membership(1, settings);
    const auto alive = MemberState::alive;
    membership.receive(
        message_from("x", Kind::pull,
                     {record("b", 1, 0, alive), record("c", 1, 0, alive), record("d", 1, 0, alive)}),
        0ms);
    CHECK(membership.members().size() == 2 && membership.counters().rejected == 1);
}

// Six members; every message is delivered at once but to those that are down or stopped.
class SmallFleet {
public:
    SmallFleet() {
        for (std::size_t i = 0; i < kMembers; ++i) {
            const auto name = std::string{"m"}.append(std::to_string(i));
            fleet_.emplace(name, Membership{{name, name, "z", "r"}, 1, fast_settings(), i + 1, {"m0"}, 0ms});
        }
    }

    Membership& at(const std::string& name) {
        return fleet_.at(name);
    }
    void kill(const std::string& name) {
        down_.insert(name);
    }
    void stop(const std::string& name) {
        stopped_.insert(name);
    }
    void resume_all() {
        stopped_.clear();
    }
    void leave(const std::string& name) {
        for (auto& outgoing : at(name).leave())
            in_flight_.push_back(std::move(outgoing));
        kill(name);
    }

    void run_for(Time span) {
        for (const auto end = now_ + span; now_ < end; now_ += 5ms)
            step();
    }
    bool run_until_all_hold(const std::string& name, MemberState state, Time longest) {
        for (const auto end = now_ + longest; now_ < end && !all_hold(name, state); now_ += 5ms)
            step();
        return all_hold(name, state);
    }
    bool all_hold(const std::string& name, MemberState state) const {
        for (const auto& [member, membership] : fleet_)
            if (!down_.contains(member) && member != name &&
                (!membership.members().contains(name) || state_of(membership, name) != state))
                return false;
        return true;
    }
    template <class Check>
    void check_running(Check check) const {
        for (const auto& [member, membership] : fleet_)
            if (!down_.contains(member))
                check(membership);
    }

    static constexpr std::size_t kMembers = 6;

private:
    bool runs(const std::string& name) const {
        return fleet_.contains(name) && !down_.contains(name) && !stopped_.contains(name);
    }
    void step() {
        for (auto& [name, membership] : fleet_)
            if (runs(name))
                for (auto& outgoing : membership.tick(now_))
                    in_flight_.push_back(std::move(outgoing));
        for (std::size_t hops = 0; !in_flight_.empty() && hops < 10'000; ++hops) {
            const auto outgoing = std::move(in_flight_.front());
            in_flight_.pop_front();
            if (!runs(outgoing.address))
                continue;
            for (auto& answer : at(outgoing.address).receive(outgoing.message, now_))
                in_flight_.push_back(std::move(answer));
        }
    }

    std::map<std::string, Membership> fleet_;
    std::set<std::string> down_, stopped_;
    std::deque<OutgoingMembershipMessage> in_flight_;
    Time now_{0};
};

void a_small_fleet_agrees_on_joins_a_crash_a_stall_and_a_leave() {
    SmallFleet fleet;
    CHECK(fleet.run_until_all_hold("m5", MemberState::alive, 3'000ms));
    fleet.check_running(
        [](const Membership& membership) { CHECK(membership.members().size() == SmallFleet::kMembers - 1); });

    fleet.kill("m3");
    CHECK(fleet.run_until_all_hold("m3", MemberState::dead, 10'000ms));
    fleet.check_running([](const Membership& membership) { CHECK(membership.counters().deaths <= 1); });

    // Stopped for less than the shortest suspicion: alive everywhere, and it blamed nobody.
    fleet.stop("m4");
    fleet.run_for(300ms);
    fleet.resume_all();
    const auto deaths = fleet.at("m4").counters().deaths;
    fleet.run_for(2'000ms);
    CHECK(fleet.all_hold("m4", MemberState::alive));
    CHECK(fleet.at("m4").counters().deaths == deaths && fleet.at("m4").counters().stalls == 1);

    fleet.leave("m2");
    fleet.run_for(2'000ms);
    CHECK(fleet.all_hold("m2", MemberState::left));
}

}  // namespace

int main() {
    a_record_changes_the_view_by_the_table_of_transitions();
    nobody_joins_by_a_suspicion_or_a_death();
    a_refutation_goes_out_with_the_next_message();
    a_message_with_a_forged_record_of_ourselves_is_rejected_whole();
    a_message_out_of_bounds_or_from_ourselves_is_rejected();
    a_record_of_an_earlier_run_of_ourselves_changes_nothing();
    an_unanswered_probe_leads_to_indirect_probes_and_a_suspicion();
    a_member_that_answers_probes_stays_alive();
    confirmations_shorten_a_suspicion_and_the_dead_are_removed_in_time();
    a_helper_passes_the_ack_back_under_the_requesters_number();
    a_helper_without_an_ack_sends_one_nack_at_the_timeout();
    a_stall_of_our_own_blames_nobody_and_postpones_suspicions();
    a_death_in_a_full_view_is_taken_for_a_suspicion();
    a_push_is_answered_with_the_records_that_differ();
    a_push_pull_ends_with_equal_views();
    push_pull_also_asks_a_member_held_dead();
    a_lone_member_pushes_to_a_seed_and_soon_again();
    a_full_view_takes_in_nobody_else();
    a_small_fleet_agrees_on_joins_a_crash_a_stall_and_a_leave();
    std::puts(
        "membership: transitions, probes, suspicion, refutations, stalls and push-pull as SWIM and Lifeguard "
        "say");
}

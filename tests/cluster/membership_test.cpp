// The membership protocol: a table of all transitions of a record, then probes, suspicions, refutations,
// stalls and push-pull.
#include "cluster/membership/membership.h"

#include <cstdio>
#include <set>

#include "../silverrail/check.h"
#include "membership_fixture.h"

using namespace silverrail::cluster;
using namespace std::chrono_literals;

namespace {

struct Transition {
    MemberRecord held;
    MemberRecord incoming;
    MemberState state;
    std::uint64_t incarnation;
    std::optional<EventKind> event;
};

// Every combination of the current record of a member and an incoming one.
std::vector<Transition> transitions() {
    using S = MemberState;
    return {
        // currently alive
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
        // currently suspect
        {record("b", 1, 3, S::suspect, "c"),
         record("b", 1, 3, S::alive),
         S::suspect,
         3,
         {}},  // a refutation needs a higher incarnation
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 4, S::alive), S::alive, 4, EventKind::refute},
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 3, S::dead, "d"), S::dead, 3, EventKind::dead},
        {record("b", 1, 3, S::suspect, "c"), record("b", 1, 2, S::dead, "d"), S::suspect, 3, {}},
        // currently dead
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 3, S::alive), S::dead, 3, {}},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 4, S::alive), S::alive, 4, EventKind::recovered},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 9, S::suspect, "d"), S::dead, 3, {}},
        {record("b", 1, 3, S::dead, "c"), record("b", 1, 3, S::left), S::dead, 3, {}},
        // currently left
        {record("b", 1, 3, S::left), record("b", 1, 3, S::dead, "c"), S::left, 3, {}},
        {record("b", 1, 3, S::left), record("b", 1, 4, S::alive), S::alive, 4, EventKind::recovered},
        // a later start under the same name is a new member, whatever the incarnation of the old one
        {record("b", 1, 9, S::dead, "c"), record("b", 2, 0, S::alive), S::alive, 0, EventKind::rejoin},
        {record("b", 1, 9, S::alive), record("b", 2, 0, S::alive), S::alive, 0, EventKind::rejoin},
        // records with an earlier start are ignored
        {record("b", 2, 0, S::alive), record("b", 1, 9, S::dead, "c"), S::alive, 0, {}},
        {record("b", 2, 0, S::alive), record("b", 1, 9, S::alive), S::alive, 0, {}},
    };
}

void records_change_the_view_as_in_the_transition_table() {
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
            std::fprintf(stderr, "transition %d: got %s/%llu and %zu events\n", row, name_of(got.state),
                         static_cast<unsigned long long>(got.incarnation), events.size());
            CHECK(false);
        }
    }
}

void suspect_and_dead_records_add_no_member() {
    auto membership = lone_membership(1);
    receive_records(membership,
                    {record("q", 1, 0, MemberState::suspect, "x"), record("r", 1, 0, MemberState::dead, "x")},
                    0ms);
    CHECK(membership.members().empty());
    receive_records(membership, {record("q", 1, 0, MemberState::alive)}, 0ms);
    CHECK(membership.members().size() == 1 && has_event(membership.take_events(), EventKind::join, "q"));
}

// The router "a", started at 5, after two refutations.
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

void a_refutation_is_sent_with_the_next_message() {
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

void a_message_with_a_forged_record_of_its_receiver_is_rejected() {
    auto membership = membership_that_refuted_twice();
    const MemberRecord forged[] = {record("a", 5, 7, MemberState::alive),
                                   record("a", 6, 0, MemberState::alive),
                                   record("a", 5, 9, MemberState::dead, "x")};
    for (const auto& forged_record : forged) {
        const auto rejected = membership.counters().rejected;
        receive_records(membership, {record("z", 1, 0, MemberState::alive), forged_record}, 2ms);
        CHECK(membership.counters().rejected == rejected + 1);
        CHECK(!membership.members().contains("z") && membership.self().incarnation == 2);
    }
}

void a_message_out_of_bounds_or_under_the_own_name_is_rejected() {
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

void a_record_of_the_own_process_before_a_restart_is_ignored() {
    auto membership = membership_that_refuted_twice();
    receive_records(membership, {record("a", 4, 30, MemberState::dead, "x")}, 4ms);
    CHECK(membership.self().start == 5 && membership.self().incarnation == 2 &&
          membership.self().state == MemberState::alive);
}

// The target of the only probe sent in the first probe interval.
std::string first_probe_target(Membership& membership) {
    const auto pings = of_kind(run_ticks(membership, 0ms, 99ms), Kind::ping);
    CHECK(pings.size() == 1);
    return pings[0].message.target;
}

// Four members, one of which has answered neither the direct probe nor those of three helpers. Its name is
// returned in `target`.
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
    CHECK(membership.local_health() == 1);  // for the failed probe only, as all helpers sent a nack
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

// Two of three confirmations reduce the timeout by most of the difference between maximum and minimum.
void confirmations_shorten_a_suspicion_and_dead_members_are_removed() {
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

void a_helper_relays_the_ack_with_the_sequence_number_of_the_ping_req() {
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

// Three seconds between two ticks, as after SIGSTOP.
void a_stall_raises_no_suspicions_and_postpones_the_current_ones() {
    auto membership = membership_with({"b", "c", "d"});
    run_ticks(membership, 0ms, 110ms);  // a probe is pending
    receive_records(membership, {record("d", 1, 0, MemberState::suspect, "c")}, 110ms, "c");
    const auto deadline = membership.members().at("d").deadline;
    membership.tick(3'110ms);
    CHECK(membership.counters().stalls == 1);
    for (const auto& [name, member] : membership.members())
        CHECK(name == "d" || member.record.state == MemberState::alive);
    CHECK(membership.members().at("d").deadline >= deadline + 2'900ms);
    CHECK(state_of(membership, "d") == MemberState::suspect);
}

void a_dead_record_in_a_push_makes_the_member_suspect() {
    auto membership = membership_with({"b", "c"});
    const auto out = membership.receive(
        message_from("b", Kind::push,
                     {record("c", 1, 0, MemberState::dead, "b"), record("e", 1, 0, MemberState::alive)}),
        5ms);
    CHECK(out.empty());
    CHECK(state_of(membership, "c") == MemberState::suspect &&
          state_of(membership, "e") == MemberState::alive);
}

// With "b" and "e" alive and "c" suspect.
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
    auto other = membership_with({"b", "c", "e"});
    CHECK(other.digest() == membership.digest());  // alive and suspect count as equal, in any order
    receive_records(other, {record("e", 2, 0, MemberState::alive)}, 7ms);
    auto out = membership.receive(push_with(other.digest()), 8ms);
    CHECK(out.size() == 1 && !out[0].message.records.empty() && out[0].message.records.size() < 4);
    bool has_e = false;
    for (const auto& sent : out[0].message.records)
        has_e |= sent.identity.name == "e";
    CHECK(has_e);
    // `other` sends back the missing records once, without a digest.
    // Both are named "a", and a message under the receiver's own name is rejected.
    out[0].message.sender = "y";
    out = other.receive(out[0].message, 9ms);
    CHECK(out.size() == 1 && out[0].message.kind == Kind::push && !out[0].message.digest);
    out[0].message.sender = "y";
    out = membership.receive(out[0].message, 10ms);
    CHECK(out.empty() && membership.digest() == other.digest());
}

void push_pull_also_contacts_a_dead_member() {
    auto settings = fast_settings();
    settings.push_pull_interval = 50ms;
    auto membership = membership_with({"b", "c"}, settings);
    receive_records(membership, {record("c", 1, 0, MemberState::dead, "b")}, 1ms, "b");
    std::set<std::string> pushed;
    for (const auto& push : of_kind(run_ticks(membership, 1ms, 60ms), Kind::push))
        pushed.insert(push.address);
    CHECK(pushed.contains("c:7946") && pushed.contains("b:7946"));
}

void a_lone_member_pushes_to_a_seed_and_retries_soon() {
    Membership lone{identity_of("a"), 1, fast_settings(), 3, {"seed:1"}, 0ms};
    const auto first = lone.tick(0ms);
    CHECK(first.size() == 1 && first[0].address == "seed:1" && first[0].message.digest &&
          first[0].message.records.empty());
    CHECK(of_kind(run_ticks(lone, 1ms, 130ms), Kind::push).size() == 1);
}

void members_beyond_the_maximum_are_rejected() {
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

}  // namespace

int main() {
    records_change_the_view_as_in_the_transition_table();
    suspect_and_dead_records_add_no_member();
    a_refutation_is_sent_with_the_next_message();
    a_message_with_a_forged_record_of_its_receiver_is_rejected();
    a_message_out_of_bounds_or_under_the_own_name_is_rejected();
    a_record_of_the_own_process_before_a_restart_is_ignored();
    an_unanswered_probe_leads_to_indirect_probes_and_a_suspicion();
    a_member_that_answers_probes_stays_alive();
    confirmations_shorten_a_suspicion_and_dead_members_are_removed();
    a_helper_relays_the_ack_with_the_sequence_number_of_the_ping_req();
    a_helper_without_an_ack_sends_one_nack_at_the_timeout();
    a_stall_raises_no_suspicions_and_postpones_the_current_ones();
    a_dead_record_in_a_push_makes_the_member_suspect();
    a_push_is_answered_with_the_records_that_differ();
    a_push_pull_ends_with_equal_views();
    push_pull_also_contacts_a_dead_member();
    a_lone_member_pushes_to_a_seed_and_retries_soon();
    members_beyond_the_maximum_are_rejected();
    std::puts("membership: transitions, probes, suspicions, refutations, stalls and push-pull as specified");
}

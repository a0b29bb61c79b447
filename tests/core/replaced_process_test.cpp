// Guards against taking a new process for the one whose place it has: a server that was listed anew under its
// id, with another address or a later start, and a router that was started anew under its name.
#include "../cluster/membership_fixture.h"
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;
using silverrail::routing::Condition;

namespace cluster = silverrail::cluster;

namespace {

Server restarted(const Fixture& f, const std::string& id, const std::string& address,
                 const char* kind = "small-box") {
    Server server = listed(id, address, kind);
    server.started_ms = f.clock.unix_ms();
    return server;
}

std::string address_of(const ServerId& id) {
    return id.address == "s-a" ? "127.0.0.1:1" : "127.0.0.1:2";
}

// The attempt was decided, and connects to the address, of the process before.
void an_attempt_is_not_sent_to_a_process_that_was_replaced() {
    for (const bool moved : {false, true}) {
        Fixture f;
        const auto reply = f.submit("lodge");
        const ServerId target = f.sender.in_flight.at(0).target;
        f.timers.pass(50ms);
        f.list({moved ? listed(target.address, "127.0.0.1:77")
                      : restarted(f, target.address, address_of(target))});
        CHECK(!f.sender.first_byte(0));
        // Nothing of it ran, so it is sent anew.
        f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        CHECK(f.sender.in_flight.size() == 1 && f.sender.first_byte(0));
        if (f.sender.in_flight[0].target == target && moved)
            CHECK(f.sender.in_flight[0].address == "127.0.0.1:77");
        f.respond_with_hit();
        CHECK(reply->has(ClientResponse::Kind::served));
    }
}

void an_attempt_is_not_sent_with_a_source_that_was_replaced() {
    Fixture f;
    (void)f.submit();
    CHECK(f.sender.in_flight.at(0).source == ServerId{"s-parent"});
    f.list({listed("s-parent", "127.0.0.1:78", "parent")});
    CHECK(!f.sender.first_byte(0));
}

// The id of a server that has gone is used again, at the same address and without a start.
void an_attempt_to_a_server_that_has_gone_is_not_sent_to_its_successor() {
    Fixture f;
    (void)f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    f.list({listed(target.address, address_of(target), "small-box", Condition::gone)});
    f.list({listed(target.address, address_of(target))});
    CHECK(!f.sender.first_byte(0));
}

void a_server_that_is_listed_again_unchanged_was_not_replaced() {
    Fixture f;
    (void)f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    f.list({listed(target.address, address_of(target))});
    CHECK(f.sender.first_byte(0));
}

bool is_outlier(const Fixture& f, const ServerId& id) {
    bool found = false;
    f.engine.for_each_server([&](const Server& server, bool outlier) {
        if (server.entry.id == id)
            found = outlier;
    });
    return found;
}

void failures_of_a_process_do_not_count_against_its_successor() {
    for (const bool replaced : {false, true}) {
        Fixture f;
        for (int i = 0; i < 12; ++i)
            (void)f.submit();
        const ServerId target = f.sender.in_flight.at(0).target;
        std::vector<AttemptKey> at_target;
        for (const auto& attempt : f.sender.in_flight)
            if (attempt.target == target)
                at_target.push_back(attempt.key);
        CHECK(at_target.size() >= 6);
        f.timers.pass(50ms);
        // A whole list of the same servers replaces none of them.
        f.list({listed("s-a", "127.0.0.1:1"), listed("s-b", "127.0.0.1:2"),
                listed("s-parent", "127.0.0.1:3", "parent"), listed("s-origin", "127.0.0.1:4", "origin")},
               true);
        if (replaced)
            f.list({restarted(f, target.address, address_of(target))});
        for (const AttemptKey& key : at_target)
            f.sender.events->ended(key, {.attempt_status = AttemptStatus::connect_failed});
        CHECK(is_outlier(f, target) == !replaced);
    }
}

// A repeat is recognised in the cell in which the first attempt may have run, not in the one in which a later
// process of that server's id stands.
void a_keyed_request_is_not_repeated_in_the_cell_of_a_successor() {
    for (const bool replaced : {false, true}) {
        auto by_cell = settings();
        by_cell.classes.at(2).key_scope = silverrail::routing::KeyScope::cell;
        Fixture f{by_cell};
        const auto reply = f.submit("order");
        const ServerId target = f.sender.in_flight.at(0).target;
        const std::string other = target.address == "s-a" ? "s-b" : "s-a";
        Server again = listed(target.address, address_of(target));
        Server elsewhere = listed(other, address_of(ServerId{other}));
        if (replaced) {
            again = restarted(f, target.address, "127.0.0.1:77");
            again.entry.cell = silverrail::routing::CellId{7};
            elsewhere.entry.cell = silverrail::routing::CellId{7};
        }
        f.list({elsewhere});
        // It is on its way when the list comes.
        CHECK(f.sender.first_byte(0));
        f.list({again});
        f.sender.end(0, {.attempt_status = AttemptStatus::reset});
        CHECK(f.sender.in_flight.empty() == replaced);
        if (replaced)
            CHECK(reply->has(ClientResponse::Kind::failed));
    }
}

// ---- members of the fleet ------------------------------------------------------------------------------

using cluster::fast_settings;
using cluster::MembershipMessage;
using cluster::MemberState;
using cluster::message_from;

// Ticks until `membership` probes "b", and returns the probe. `now` is its time then.
MembershipMessage probe_of_b(cluster::Membership& membership, cluster::Time& now) {
    for (; now < 1s; now += 1ms)
        for (const auto& outgoing : cluster::of_kind(membership.tick(now), cluster::Kind::ping))
            if (outgoing.message.target == "b")
                return outgoing.message;
    CHECK(false);
    return {};
}

MembershipMessage ack_from(const std::string& name, std::uint64_t start, std::uint32_t sequence) {
    MembershipMessage ack = message_from(name, cluster::Kind::ack, {}, sequence);
    ack.sender_start = start;
    return ack;
}

void an_ack_counts_only_for_the_process_that_was_probed() {
    for (const std::uint64_t start : {1U, 2U}) {
        auto membership = cluster::membership_with({"b"});
        cluster::Time now{};
        const auto ping = probe_of_b(membership, now);
        membership.receive(ack_from("b", start, ping.sequence), now + 1ms);
        CHECK(membership.counters().acks == (start == 1 ? 1U : 0U));
    }
    // Nor does one from a member that was not asked.
    auto membership = cluster::membership_with({"b", "c"});
    cluster::Time now{};
    const auto ping = probe_of_b(membership, now);
    membership.receive(ack_from("c", 1, ping.sequence), now + 1ms);
    CHECK(membership.counters().acks == 0);
}

// The probe was sent to the process before; its silence says nothing of the new one.
void a_successor_is_not_suspected_for_the_silence_of_the_process_before() {
    auto membership = cluster::membership_with({"b"});
    cluster::Time now{};
    (void)probe_of_b(membership, now);
    cluster::receive_records(membership, {cluster::record("b", 2, 0, MemberState::alive)}, now + 1ms, "b");
    membership.take_events();
    // To the end of this probe's interval.
    (void)cluster::run_ticks(membership, now + 1ms, now + fast_settings().probe_interval);
    CHECK(!cluster::has_event(membership.take_events(), cluster::EventKind::suspect, "b"));
    CHECK(cluster::state_of(membership, "b") == MemberState::alive);
}

// A helper that is asked to probe a process does not report its successor's answer as that of the process.
void a_relayed_probe_is_answered_only_by_the_process_that_was_meant() {
    for (const std::uint64_t start : {1U, 2U}) {
        auto helper = cluster::membership_with({"b", "c"});
        auto request =
            message_from("c", cluster::Kind::ping_req, {cluster::record("b", 1, 0, MemberState::alive)}, 40);
        request.target = "b";
        request.target_address = "b:7946";
        const auto sent = helper.receive(request, 1ms);
        CHECK(sent.size() == 1 && sent[0].message.kind == cluster::Kind::ping);
        const auto relayed = helper.receive(ack_from("b", start, sent[0].message.sequence), 5ms);
        CHECK(relayed.size() == (start == 1 ? 1U : 0U));
    }
}

// The helper knows which process is meant by the record in the request.
void a_request_to_probe_names_the_process() {
    auto membership = cluster::membership_with({"b", "c"});
    const auto all = cluster::run_ticks(membership, 0ms, 300ms);
    const auto requests = cluster::of_kind(all, cluster::Kind::ping_req);
    CHECK(!requests.empty());
    for (const auto& request : requests) {
        const auto& records = request.message.records;
        CHECK(!records.empty() && records.front().identity.name == request.message.target &&
              records.front().start == 1);
    }
}

}  // namespace

int main() {
    a_server_that_is_listed_again_unchanged_was_not_replaced();
    an_attempt_is_not_sent_to_a_process_that_was_replaced();
    an_attempt_is_not_sent_with_a_source_that_was_replaced();
    an_attempt_to_a_server_that_has_gone_is_not_sent_to_its_successor();
    failures_of_a_process_do_not_count_against_its_successor();
    a_keyed_request_is_not_repeated_in_the_cell_of_a_successor();
    an_ack_counts_only_for_the_process_that_was_probed();
    a_successor_is_not_suspected_for_the_silence_of_the_process_before();
    a_relayed_probe_is_answered_only_by_the_process_that_was_meant();
    a_request_to_probe_names_the_process();
    std::puts("replaced processes: all cases passed");
}

// Tests which queries the DNS front end answers and which it refuses.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// A router with one server, and a DNS client.
struct Fixture {
    Fixture() {
        router.list({listed("s-a", "127.0.1.1:80")});
    }
    net::asio::io_context io;
    DnsRouter router{io};
    UdpClient udp{io, router.server.udp_local()};
};

void names_get_the_expected_answers_or_errors() {
    Fixture f;
    struct Case {
        std::string name;
        RecordType type;
        int rcode;
        std::size_t answers;
        std::size_t authority;
        int extended;
    };
    const Case cases[] = {
        {"lot-17." + kObject + ".pages.route.example", RecordType::a, 0, 1, 0, -1},
        {"piece-3.lot-17." + kObject + ".PAGES.Route.Example", RecordType::a, 0, 1, 0, -1},
        {kObject + ".pages.route.example", RecordType::a, 0, 1, 0, -1},
        {kObject + ".pages.route.example", RecordType::aaaa, 0, 0, 1, -1},
        {kObject + ".pages.route.example", RecordType::txt, 0, 0, 1, -1},
        {kObject + ".pages.route.example", RecordType::any, 0, 1, 0, -1},
        {kObject + ".lodge.route.example", RecordType::a, 5, 0, 0, 18},
        {kObject + ".none.route.example", RecordType::a, 3, 0, 1, -1},
        {"pages.route.example", RecordType::a, 0, 0, 1, -1},
        {"route.example", RecordType::soa, 0, 1, 0, -1},
        {"route.example", RecordType::ns, 0, 1, 0, -1},
        {"ns1.route.example", RecordType::a, 0, 1, 0, -1},
        {"www.example", RecordType::a, 5, 0, 0, 20},
    };
    for (const Case& c : cases) {
        const Reply r = f.udp.ask(query(c.name, c.type));
        CHECK(r.rcode == c.rcode && r.answers == c.answers && r.authority == c.authority);
        CHECK(r.extended == c.extended);
    }
}

void answers_name_a_server_for_a_second_at_most() {
    Fixture f;
    const Reply named = f.udp.ask(query(kObject + ".pages.route.example", RecordType::a, false));
    CHECK(named.address == "127.0.1.1" && named.ttl <= 1);
}

void malformed_and_unknown_queries_get_errors() {
    Fixture f;
    CHECK(f.udp.ask(query(kObject + ".pages.route.example").substr(0, 30)).rcode == 1);
    std::string update = query("route.example");
    update[2] = 0x28;
    CHECK(f.udp.ask(update).rcode == 4);
}

// A response over the UDP limit has the TC flag; server_test.cpp covers the full response over TCP.
void long_responses_are_truncated_over_udp() {
    Fixture f;
    for (int i = 0; i < 8; ++i)
        f.router.front_end.add_txt_record(*parse_name("t.route.example"), std::string(200, 'x'));
    CHECK(f.udp.ask(query("t.route.example", RecordType::txt)).truncated);
}

void draining_and_gone_servers_are_not_named() {
    Fixture f;
    f.router.list({listed("s-a", "127.0.1.1:80", "small-box", Condition::draining),
                   listed("s-b", "127.0.1.2:80", "small-box", Condition::gone)},
                  false);
    f.router.list({listed("s-c", "127.0.1.3:80")}, false);
    CHECK(f.udp.ask(query(name_of(1))).address == "127.0.1.3");
}

// A resolver's clients share one answer, so it can bring more requests than the slow start's budget counts.
void starting_servers_are_not_named() {
    Fixture f;
    auto starting = listed("s-a", "127.0.1.1:80");
    starting.started_ms = f.router.clock.unix_ms();
    starting.entry.started_at = f.router.clock.now();
    f.router.list({starting}, false);
    const Reply reply = f.udp.ask(query(name_of(1)));
    CHECK(reply.rcode == 2 && reply.extended == 14);
    f.router.clock.passed += 15s;
    CHECK(f.udp.ask(query(name_of(1))).rcode == 0);
}

// A DNS name cannot carry the age limit that requests need after a purge, so queries for the group are
// refused until all older copies have expired.
void purged_groups_are_refused_until_old_copies_expire() {
    Fixture f;
    f.router.engine.apply(core::PurgeNotice{{}, routing::GroupId{17}, f.router.clock.unix_ms()});
    const Reply reply = f.udp.ask(query(name_of(1)));
    CHECK(reply.rcode == 2 && reply.extended == 14);
    // Without a group label, the object may belong to any group.
    CHECK(f.udp.ask(query(kObject + ".pages.route.example")).rcode == 2);
    CHECK(f.udp.ask(query("lot-18." + kObject + ".pages.route.example")).rcode == 0);
    f.router.clock.passed += 10s;
    CHECK(f.udp.ask(query(name_of(1))).rcode == 0);
    CHECK(f.router.engine.counters().not_carried == 2 && f.router.engine.open() == 0);
}

// Without a parent, edge caches would have to fill from the origin, and a DNS name cannot express that.
void no_server_is_named_without_a_parent() {
    Fixture f;
    f.router.list({listed("s-parent", "127.0.0.1:9", "parent", Condition::gone)}, false);
    CHECK(f.udp.ask(query(name_of(2))).rcode == 2);
}

void expired_deadlines_are_errors() {
    net::asio::io_context io;
    auto settings = zone();
    settings.deadline = 0ms;
    DnsRouter router{io, settings};
    router.list({listed("s-a", "127.0.1.1:80")});
    const Reply reply = UdpClient{io, router.server.udp_local()}.ask(query(name_of(1)));
    CHECK(reply.rcode == 2 && reply.extended == 23);
}

}  // namespace

int main() {
    names_get_the_expected_answers_or_errors();
    answers_name_a_server_for_a_second_at_most();
    malformed_and_unknown_queries_get_errors();
    long_responses_are_truncated_over_udp();
    draining_and_gone_servers_are_not_named();
    starting_servers_are_not_named();
    purged_groups_are_refused_until_old_copies_expire();
    no_server_is_named_without_a_parent();
    expired_deadlines_are_errors();
    std::puts("dns: all names get the expected answers or errors");
}

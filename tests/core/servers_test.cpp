// Changes of the server list, and exclusion of servers: by an operator, by other routers' outlier reports, or
// with their zone.
#include "fixture.h"

using namespace silverrail::core;
using namespace silverrail::core::test;
using silverrail::routing::Condition;

namespace {

using Kind = ClientResponse::Kind;

void connections_are_dropped_when_a_server_is_gone_or_restarted() {
    Fixture f;
    f.list({listed("s-a", "127.0.0.1:1", "small-box", Condition::draining)});
    CHECK(f.sender.discarded.empty());  // open connections are not closed
    f.timers.pass(1s);
    f.list({listed("s-a", "127.0.0.1:1", "small-box", Condition::gone)});
    CHECK(f.sender.discarded == std::vector<std::string>{"s-a"});
    auto again = listed("s-b", "127.0.0.1:2");
    again.started_ms = f.clock.unix_ms();
    f.list({again});
    f.list({again});  // listed twice, restarted once
    CHECK((f.sender.discarded == std::vector<std::string>{"s-a", "s-b"}));
}

silverrail::overrides::ServerOverrides excluding(std::initializer_list<const char*> ids) {
    silverrail::overrides::ServerOverrides overrides;
    for (const char* id : ids)
        CHECK(overrides.exclude(ServerId{id}));
    return overrides;
}

const char* other_server(const ServerId& id) {
    return id.address == "s-a" ? "s-b" : "s-a";
}

void an_attempt_to_an_excluded_server_is_suppressed_at_its_first_byte() {
    Fixture f;
    const auto read = f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    const auto write = f.submit("lodge");
    CHECK(f.sender.in_flight.size() == 2 && f.sender.in_flight[1].target == target);
    f.engine.set_overrides(excluding({target.address.c_str()}));
    CHECK(f.sender.discarded == std::vector{target.address});
    for (int i = 0; i < 2; ++i) {
        CHECK(!f.sender.first_byte(0));
        f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
        CHECK(f.sender.in_flight.back().target.address == other_server(target));
        CHECK(f.sender.first_byte(f.sender.in_flight.size() - 1));
    }
    while (!f.sender.in_flight.empty())
        f.respond_with_hit();
    CHECK(read->response.kind == Kind::served && write->response.kind == Kind::served);
    CHECK(f.engine.counters().hosts_down == 1 && f.engine.counters().hosts_listed == 4);
}

void an_excluded_server_stays_excluded_when_it_is_listed_again() {
    Fixture f;
    (void)f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    f.respond_with_hit();
    f.engine.set_overrides(excluding({target.address.c_str()}));
    // Listed as gone, as ready again, and as just started.
    f.list({listed(target.address, "127.0.0.1:1", "small-box", Condition::gone)});
    f.list({listed(target.address, "127.0.0.1:1")});
    auto started = listed(target.address, "127.0.0.1:1");
    started.entry.started_at = f.clock.now();
    f.list({started});
    const auto reply = f.submit();
    CHECK(f.sender.in_flight.at(0).target.address == other_server(target));
    CHECK(f.sender.in_flight.size() == 1);
    f.respond_with_hit();
    CHECK(reply->has(Kind::served) && f.engine.open() == 0);
}

// A readmitted server receives its objects again within half a second. Once its share of the slow start
// budget is used up, the other server receives the rest.
void a_readmitted_server_is_in_slow_start() {
    Fixture f;
    (void)f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    f.respond_with_hit();
    f.engine.set_overrides(excluding({target.address.c_str()}));
    f.clock.passed += 1s;
    f.engine.set_overrides(excluding({}));
    CHECK(f.engine.counters().hosts_down == 0);
    f.clock.passed += 500ms;
    const auto reply = f.submit();
    CHECK(f.sender.in_flight.at(0).target == target);
    CHECK(f.sender.in_flight.size() == 1);
    f.respond_with_hit();
    CHECK(reply->has(Kind::served));
    for (int i = 0; i < 19; ++i)
        f.submit();
    const auto at_target = std::ranges::count(f.sender.in_flight, target, &AttemptRequest::target);
    CHECK(at_target > 0 && at_target < 19);
    f.sender.end_all(AttemptStatus::cancelled);
    CHECK(f.engine.open() == 0);
}

void a_fill_from_an_excluded_source_uses_another_source() {
    Fixture f;
    const auto reply = f.submit();
    CHECK(f.sender.in_flight.size() == 1 && f.sender.in_flight[0].source == ServerId{"s-parent"});
    f.engine.set_overrides(excluding({"s-parent"}));
    CHECK(!f.sender.first_byte(0));
    f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
    CHECK(f.sender.in_flight.size() == 1 && f.sender.in_flight[0].source != ServerId{"s-parent"});
    f.respond_with_hit();
    CHECK(reply->has(Kind::served) && f.engine.open() == 0);
}

void reported_outliers_are_excluded_until_the_reports_end() {
    Fixture f;
    f.engine.set_reported_outliers({ServerId{"s-a"}});
    f.list({listed("s-a", "127.0.0.1:1")});
    CHECK(f.engine.counters().hosts_down == 1 && f.sender.discarded == std::vector<std::string>{"s-a"});
    (void)f.submit();
    CHECK(f.sender.in_flight.at(0).target.address == "s-b");
    f.engine.set_reported_outliers({});
    CHECK(f.engine.counters().hosts_down == 0);
}

// Two servers in the router's own zone, edge-1, and s-far in edge-2.
struct TwoZones : Fixture {
    TwoZones() {
        auto far = listed("s-far", "127.0.0.1:5");
        far.entry.zone = "edge-2";
        list({far});
    }
    // Submits `requests` requests for different objects, and returns the number of attempts by server.
    std::map<std::string, std::size_t> attempts_of(std::size_t requests) {
        std::map<std::string, std::size_t> by_server;
        for (std::size_t i = 0; i < requests; ++i) {
            ClientRequest request;
            request.class_name = "pages";
            request.object = std::to_string(i);
            request.object_id = silverrail::routing::ObjectId{7919 * i + 1};
            request.deadline = clock.now() + 2s;
            engine.submit(std::move(request), std::make_shared<RecordingSink>());
            if (sender.in_flight.empty())
                continue;  // rejected: servers in slow start accept only few requests
            ++by_server[sender.in_flight.back().target.address];
            respond_with_hit();
        }
        return by_server;
    }
};

void zone_factors_spread_requests_over_zones() {
    TwoZones f;
    CHECK(!f.attempts_of(60).contains("s-far") && f.engine.attempts_by_remote_zone().empty());
    // The one server in edge-2 receives as many requests as the two in edge-1.
    f.engine.set_zone_factors({{"edge-1", 0.5}, {"edge-2", 1.0}});
    auto attempts = f.attempts_of(400);
    CHECK(attempts["s-far"] > 150 && attempts["s-far"] < 250);
    CHECK(attempts["s-a"] > 60 && attempts["s-b"] > 60);
    CHECK(f.engine.attempts_by_remote_zone().at("edge-2") == attempts["s-far"]);
    // The own zone receives nothing any more: an attempt to it that was already decided is suppressed.
    const auto decided_before = f.submit();
    const ServerId target = f.sender.in_flight.at(0).target;
    f.engine.set_zone_factors({{"edge-1", 0.0}, {"edge-2", 1.0}});
    if (target.address != "s-far") {
        CHECK(!f.sender.first_byte(0));
        f.sender.end(0, {.attempt_status = AttemptStatus::not_sent});
    }
    CHECK(f.sender.in_flight.at(0).target.address == "s-far");
    f.respond_with_hit();
    CHECK(decided_before->response.kind == Kind::served);
    CHECK(f.attempts_of(50)["s-far"] == 50 && f.engine.counters().hosts_down == 2);
    f.engine.set_zone_factors({});
    CHECK(f.engine.counters().hosts_down == 0);
    CHECK(!f.attempts_of(60).contains("s-far"));
}

}  // namespace

int main() {
    connections_are_dropped_when_a_server_is_gone_or_restarted();
    an_attempt_to_an_excluded_server_is_suppressed_at_its_first_byte();
    an_excluded_server_stays_excluded_when_it_is_listed_again();
    a_readmitted_server_is_in_slow_start();
    a_fill_from_an_excluded_source_uses_another_source();
    reported_outliers_are_excluded_until_the_reports_end();
    zone_factors_spread_requests_over_zones();
    std::puts("servers: all cases passed");
}

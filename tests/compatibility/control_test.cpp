// The control address and the figures, held against literals: each command with its answers, each name of
// DUMP and of GET /counters with all parts on.
#include "support.h"

using namespace compatibility;

namespace {

// Every figure of GET /counters in its order. Classes are those of the configuration.
const std::vector<std::string> kCoreFigures = {
    "taken",
    "not_admitted",
    "unfit",
    "open",
    "sent",
    "held_at_first_byte",
    "tightened",
    "cancelled",
    "served",
    "unchanged",
    "own_fresh",
    "own_stale",
    "referred",
    "not_carried",
    "refused",
    "failed",
    "abandoned",
    "past_deadline",
    "backend_calls",
    "inflight",
    "hosts_listed",
    "hosts_down",
    "success_pages",
    "busy_pages",
    "failure_pages",
    "success_lodge",
    "busy_lodge",
    "failure_lodge",
    "success_order",
    "busy_order",
    "failure_order",
    "lists",
    "purges",
    "clock_steps",
    "clock_doubts",
    "violations",
    "violation_start_after_end",
    "violation_start_beside",
    "violation_start_past_limit",
    "violation_repeat",
    "violation_transition",
    "violation_unknown_call",
    "held_client_left",
    "held_answered",
    "held_past_deadline",
    "held_past_window",
    "held_target_drained",
    "held_source_drained",
    "held_may_run_twice",
    "held_another_out",
    "ending_good",
    "ending_error",
    "ending_full",
    "ending_late",
    "ending_no_connection",
    "ending_reset",
    "ending_cancelled",
    "ending_not_sent",
    "ending_miss",
    "ending_unseen",
    "own_withheld",
    "purges_late",
    "purges_unconfirmed_ms",
};
const std::vector<std::string> kTraceFigures = {
    "trace_records", "trace_dropped", "trace_lost",         "trace_bytes",
    "trace_files",   "trace_dumps",   "trace_write_errors",
};
const std::vector<std::string> kPeersFigures = {
    "peers.alive",
    "peers.suspect",
    "peers.dead",
    "peers.left",
    "peers.health",
    "peers.probes",
    "peers.acks",
    "peers.indirect",
    "peers.nacks",
    "peers.suspicions",
    "peers.refuted",
    "peers.deaths",
    "peers.stalls",
    "peers.refused_records",
    "peers.pushes",
    "peers.datagrams_in",
    "peers.datagrams_out",
    "peers.streams_in",
    "peers.streams_out",
    "peers.bytes_in",
    "peers.bytes_out",
    "peers.refused_undecodable",
    "peers.refused_oversize",
    "peers.refused_other_version",
    "peers.refused_out_of_bounds",
    "peers.streams_turned_away",
    "peers.streams_timed_out",
};
const std::vector<std::string> kReplicaFigures = {
    "replica.keys",        "replica.origins",   "replica.applied",       "replica.duplicates",
    "replica.ahead",       "replica.refused",   "replica.rounds",        "replica.updates_sent",
    "replica.full_copies", "replica.forgotten", "replica.failed_writes", "replica.lag",
};
const std::vector<std::string> kHearsayFigures = {
    "hearsay.out",      "hearsay.said",   "hearsay.taken_back",
    "hearsay.held_out", "hearsay.let_in", "hearsay.panics",
};
const std::vector<std::string> kFailoverFigures = {
    "failover.quorum",
    "failover.health",
    "failover.warm",
    "failover.epoch",
    "failover.out",
    "failover.changes",
    "failover.flaps",
    "failover.written",
    "failover.sent_out_of_zone",
    "failover.sent_out_of_region",
    "failover.probes",
    "failover.probes_failed",
};
const std::vector<std::string> kReportsFigures = {
    "reports.keys",        "reports.origins",   "reports.applied",       "reports.duplicates",
    "reports.ahead",       "reports.refused",   "reports.rounds",        "reports.updates_sent",
    "reports.full_copies", "reports.forgotten", "reports.failed_writes", "reports.lag",
};
const std::vector<std::string> kBansFigures = {"bans.out", "bans.unwritten"};
const std::vector<std::string> kClientsFigures = {
    "clients.violations",         "clients.closed_unanswered",    "clients.second_answers",
    "clients.left_before_taken",  "clients.full_of_early_bytes",  "clients.accepted",
    "clients.accept_aborted",     "clients.accept_pauses",        "clients.closed_answered_last",
    "clients.closed_client_left", "clients.closed_broken",        "clients.closed_idle_end",
    "clients.closed_silent",      "clients.closed_slow_request",  "clients.closed_evicted",
    "clients.closed_unreadable",  "clients.closed_write_stalled", "clients.closed_shut_down",
};
const std::vector<std::string> kLoopFigures = {"loop.pauses", "loop.longest_pause_ms"};
const std::vector<std::string> kDiscoveryFigures = {
    "bulletin.connects",
    "bulletin.unreadable",
    "bulletin.gaps",
    "bulletin.slow",
};
const std::vector<std::string> kMemoryFigures = {
    "memory.resident_bytes",          "memory.capacity_bytes",    "memory.reserved_bytes",
    "memory.bodies_discarded",        "memory.clients_bytes",     "memory.clients_refusals",
    "memory.requests_bytes",          "memory.requests_refusals", "memory.server_answers_bytes",
    "memory.server_answers_refusals", "memory.answers_bytes",     "memory.answers_refusals",
};

std::vector<std::string> joined(std::initializer_list<std::vector<std::string>> lists) {
    std::vector<std::string> all;
    for (const auto& list : lists)
        all.insert(all.end(), list.begin(), list.end());
    return all;
}

// The names of GET /counters; each line is a name, one space and a whole number.
std::vector<std::string> figure_names(const RouterProcess& router) {
    std::vector<std::string> names;
    std::istringstream lines{get(router.port, "/counters").body};
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.find(' ');
        CHECK(space != std::string::npos);
        const std::string value = line.substr(space + 1);
        CHECK(!value.empty() && value.find_first_not_of("0123456789") == std::string::npos);
        names.push_back(line.substr(0, space));
    }
    return names;
}

void expect_figures(const RouterProcess& router, const std::vector<std::string>& expected) {
    const auto names = figure_names(router);
    for (std::size_t i = 0; i < std::max(names.size(), expected.size()); ++i) {
        const std::string found = i < names.size() ? names[i] : "nothing";
        const std::string wanted = i < expected.size() ? expected[i] : "nothing";
        check_that(found == wanted, "figure " + std::to_string(i) + " is " + wanted + ", not " + found);
    }
}

void expect_answer(const RouterProcess& router, const std::string& line, const std::string& expected) {
    const std::string answer = router.call(line);
    check_that(answer == expected, line + " is answered with " + expected + "not " + answer);
}

std::vector<Json::Value> servers_of_two_zones(const std::string& address) {
    return {listed_server("s-a", address, "small-box", "syd-a"),
            listed_server("s-b", address, "small-box", "syd-b"),
            listed_server("s-origin", "127.0.0.1:9", "origin", "north")};
}

Json::Value config_of_syd_a(const RouterProcess& router, const std::string& server_address) {
    Json::Value config = platform_config(router.port, servers_of_two_zones(server_address));
    value_at(config, "settings.zone") = "syd-a";
    value_at(config, "settings.dcs") = parse_json(R"(["north", "syd-a"])");
    return config;
}

StandInServer::Answer good_answer() {
    return [](const HttpMessage&) {
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    };
}

// ---- without parts

void commands_of_a_router_by_itself() {
    StandInServer server{good_answer()};
    RouterProcess router;
    router.start(config_of_syd_a(router, server.address()));
    expect_figures(router,
                   joined({kCoreFigures, kBansFigures, kClientsFigures, kLoopFigures, kMemoryFigures}));

    expect_answer(router, "HEALTH", "ACK takes clients\n");
    expect_answer(router, "OFFLINE s-a", "ACK out\n");
    expect_answer(router, "OFFLINE s-a", "ACK out\n");
    expect_answer(router, "DUMP",
                  "edge.success.pages=0\n"
                  "edge.busy.pages=0\n"
                  "edge.failure.pages=0\n"
                  "edge.success.lodge=0\n"
                  "edge.busy.lodge=0\n"
                  "edge.failure.lodge=0\n"
                  "edge.success.order=0\n"
                  "edge.busy.order=0\n"
                  "edge.failure.order=0\n"
                  "edge.backend_calls=0\n"
                  "edge.inflight=0\n"
                  "edge.hosts_listed=3\n"
                  "edge.hosts_down=1\n"
                  "--\n");
    expect_answer(router, "ONLINE s-a", "ACK in use\n");
    CHECK(contains(router.call("DUMP"), "edge.hosts_down=0\n"));
    expect_answer(router, "OFFLINE s-unknown", "NAK no such box\n");
    expect_answer(router, "ONLINE s-unknown", "NAK no such box\n");
    for (const char* line : {"MEMBERS", "REPLICA", "FAILOVER", "PIN syd-a OUT", "OFFLINE", "ONLINE", "PIN",
                             "PIN syd-a SIDEWAYS", "HEALTH now", "health", ""}) {
        const std::string answer = router.call(line);
        check_that(answer.starts_with("NAK ") && answer.ends_with("\n"), std::string{line} + ": " + answer);
    }
}

void health_of_a_router_that_ends() {
    StandInServer server{[](const HttpMessage&) {
        std::this_thread::sleep_for(1500ms);
        return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    }};
    RouterProcess router;
    router.start(config_of_syd_a(router, server.address()));
    const int client = connect_to(router.port);
    CHECK(send_all(client,
                   "GET /ops/pages/7f3a9c21e0b4d655/piece-3 HTTP/1.1\r\nHost: app.svc\r\n"
                   "Trace-Id: 9b1f03aa5c7e2d41\r\nMax-Wait-Ms: 3000\r\nX-Lot: 17\r\n\r\n"));
    CHECK(wait_until([&server] { return server.count() > 0; }));
    router.signal(SIGTERM);
    CHECK(wait_until([&router] { return router.call("HEALTH") == "NAK draining\n"; }));
    CHECK(get(router.port, "/alive").status() == 503);
    CHECK(wait_until([&router] { return router.call("HEALTH") == "NAK finishing\n"; }));
    ::close(client);
    CHECK(router.stop() == 0);
}

// ---- with all parts

void commands_of_a_router_with_peers() {
    StandInServer server{good_answer()};
    DiscoveryStream discovery;
    RouterProcess router;
    const std::string peer_address = address_text(free_port());
    router.settings = parse_json(R"({"peers": {"name": "syd-a-07", "zone": "syd-a", "region": "au-east",
        "failover": {"zones": [{"name": "syd-a", "region": "au-east", "routers": 1},
                               {"name": "syd-b", "region": "au-east", "routers": 1},
                               {"name": "per-a", "region": "au-west", "routers": 2}]}}})");
    router.settings["peers"]["bind"] = peer_address;
    router.settings["trace"]["folder"] = router.folder().file("traces");
    Json::Value config = config_of_syd_a(router, server.address());
    config["bulletin"] = discovery.address();
    // One that has just started bears less than a warm one.
    value_at(config, "known.items.0.roster.servers.0.started_ms") =
        Json::Int64{std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()};
    router.start(config);
    expect_figures(router, joined({kCoreFigures, kTraceFigures, kPeersFigures, kReplicaFigures,
                                   kHearsayFigures, kFailoverFigures, kReportsFigures, kBansFigures,
                                   kClientsFigures, kLoopFigures, kDiscoveryFigures, kMemoryFigures}));
    CHECK(router.counters().at("peers.alive") == 1);
    CHECK(wait_until([&router] {
        const auto figures = router.counters();
        const auto warmth = figures.at("failover.warm");
        return figures.at("failover.health") == 100 && warmth > 20 && warmth < 90;
    }));

    // name, state, incarnation, start, address, zone, region
    const std::string members = router.call("MEMBERS");
    check_that(members.starts_with("syd-a-07 alive 0 "), members);
    check_that(members.ends_with(" " + peer_address + " syd-a au-east\n--\n"), members);

    // origin, highest number held, highest heard of, lag
    expect_answer(router, "REPLICA", "--\n");
    expect_answer(router, "OFFLINE s-a", "ACK out\n");
    const std::string replica = router.call("REPLICA");
    check_that(replica.starts_with("syd-a-07@") && replica.ends_with(" 1 1 0\n--\n"), replica);
    expect_answer(router, "ONLINE s-a", "ACK in use\n");

    // zone, region, routers, health/warmth, epoch, per cent out, where to, pin, changes, flaps
    const auto row = [&router](const std::string& zone) {
        std::istringstream lines{router.call("FAILOVER")};
        for (std::string line; std::getline(lines, line);)
            if (line.starts_with(zone + " "))
                return line;
        return std::string{};
    };
    CHECK(router.call("FAILOVER").ends_with("\n--\n"));
    CHECK(row("per-a") == "per-a au-west 0/2 - 0 0 - - 0 0");
    check_that(row("syd-a").starts_with("syd-a au-east 1/1 ") && row("syd-a").ends_with(" 0 0 - - 0 0"),
               row("syd-a"));
    expect_answer(router, "PIN syd-a OUT", "ACK pinned\n");
    CHECK(wait_until([&row] { return row("syd-a").ends_with(" - out 0 0"); }));
    expect_answer(router, "PIN syd-a IN", "ACK pinned\n");
    CHECK(wait_until([&row] { return row("syd-a").ends_with(" - in 0 0"); }));
    expect_answer(router, "PIN syd-a OFF", "ACK not pinned\n");
    CHECK(wait_until([&row] { return row("syd-a").ends_with(" - - 0 0"); }));
    expect_answer(router, "PIN mars OUT", "NAK no such zone\n");
    CHECK(router.stop() == 0);
}

}  // namespace

int main() {
    commands_of_a_router_by_itself();
    health_of_a_router_that_ends();
    commands_of_a_router_with_peers();
    std::puts("control: every command is answered and every figure is named as ever");
}

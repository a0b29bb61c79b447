// Tests the control address on real sockets: command parsing, misbehaving clients, and the counters for each
// outcome of a request.
#include "front/admin/admin.h"

#include "front/admin/command_parser.h"
#include "net/line_server.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
namespace admin = silverrail::front::admin;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

void commands_are_parsed_or_rejected() {
    using Kind = admin::Command::Kind;
    struct Row {
        std::string line;
        bool terminated;
        std::optional<Kind> kind;  // absent: rejected
        std::string target{};
    };
    const Row rows[] = {
        {"HEALTH", true, Kind::health},
        {"DUMP", true, Kind::dump},
        {"MEMBERS", true, Kind::members},
        {"MEMBERS all", true, std::nullopt},
        {"FAILOVER", true, Kind::failover},
        {"FAILOVER z1", true, std::nullopt},
        {"PIN z1 OUT", true, Kind::pin, "z1"},
        {"PIN z1 OFF\r", true, Kind::pin, "z1"},
        {"PIN", true, std::nullopt},
        {"PIN z1", true, std::nullopt},
        {"PIN z1 out", true, std::nullopt},
        {"PIN  OUT", true, std::nullopt},
        {"PIN z1 OUT now", true, std::nullopt},
        {"HEALTH\r", true, Kind::health},
        {"HEALTH", false, std::nullopt},   // connection closed before the end of the line
        {"", true, std::nullopt},          // empty line
        {"\r", true, std::nullopt},        // empty line
        {"health", true, std::nullopt},    // keywords are case-sensitive
        {" HEALTH", true, std::nullopt},   // leading space
        {"HEALTH ", true, std::nullopt},   // trailing space
        {"DUMP all", true, std::nullopt},  // unexpected argument
        {"HEALTHY", true, std::nullopt},
        {"OFFLINE s-00c41f7a", true, Kind::offline, "s-00c41f7a"},
        {"ONLINE s-00c41f7a\r", true, Kind::online, "s-00c41f7a"},
        {"OFFLINE", true, std::nullopt},  // missing server id
        {"OFFLINE ", true, std::nullopt},
        {"OFFLINE s-1 s-2", true, std::nullopt},  // more than one server id
        {"OFFLINE  s-1", true, std::nullopt},
        {"ONLINE s\t1", true, std::nullopt},
        {"OFFLINE " + std::string(129, 'x'), true, std::nullopt},
        {"OFFLINES-1", true, std::nullopt},
        {std::string{"HEALTH\0", 7}, true, std::nullopt},
        {"HEALTH\rDUMP", true, std::nullopt},
        {"HEALTH\xc3\xa4", true, std::nullopt},
        {std::string(300, 'A'), false, std::nullopt},  // over the length limit
    };
    for (const Row& row : rows) {
        const auto parsed = admin::parse_command(row.line, row.terminated);
        const auto* command = std::get_if<admin::Command>(&parsed);
        CHECK((command != nullptr) == row.kind.has_value());
        if (command)
            CHECK(command->kind == *row.kind && command->target == row.target);
        if (!command)
            CHECK(!std::get<admin::CommandError>(parsed).reason.empty());
    }
    CHECK(admin::acknowledge() == "ACK\n" && admin::reject("why not") == "NAK why not\n");
}

struct StubOverrides : admin::OverrideCommands {
    admin::CommandResult take_offline(const core::ServerId& server) override {
        return {true, "out " + server.address};
    }
    admin::CommandResult bring_online(const core::ServerId&) override {
        return {false, "no such box"};
    }
};

struct ControlServer {
    ControlServer(net::asio::io_context& io, Router& router, net::LineLimits limits = {})
        : admin(router.engine, overrides, router.lifecycle, router.log),
          server(
              io, loopback(), limits,
              [this](std::string_view line, bool terminated) { return admin.answer(line, terminated); },
              router.log) {
        server.start();
    }
    StubOverrides overrides;
    admin::Admin admin;
    net::LineServer server;
};

void misbehaving_clients_are_limited() {
    net::asio::io_context io;
    Router router{io};
    ControlServer control{io, router, {.connections = 8, .line = 32}};
    const auto at = control.server.local();
    CHECK(send_command(io, at, "HEALTH") == "ACK takes clients\n");
    // Far more connections than the limit, which send nothing or only part of a command: a new client is
    // still served, and the number of open connections stays within the limit.
    std::vector<std::unique_ptr<ControlClient>> idle_callers;
    for (int i = 0; i < 200; ++i) {
        idle_callers.push_back(std::make_unique<ControlClient>(io, at, i % 2 == 0 ? "" : "HEA"));
        if (i % 50 == 49)
            CHECK(send_command(io, at, "HEALTH").starts_with("ACK"));
        CHECK(control.server.connections() <= 8);
    }
    // The newest of these clients completes its command in two writes and gets its response.
    idle_callers.back()->send("L");
    idle_callers.back()->send("TH\n");
    run_until(io, [&] { return idle_callers.back()->done; });
    CHECK(idle_callers.back()->answer == "ACK takes clients\n" && idle_callers.back()->clean);
    // A client that half-closes its connection still gets a response: NAK for an unterminated line, and just
    // the close if it has sent nothing.
    for (const auto& [sent, expected] : {std::pair{"HEALTH\n", "ACK"}, {"HEALTH", "NAK"}, {"", ""}}) {
        ControlClient caller{io, at, sent};
        caller.half_close();
        run_until(io, [&] { return caller.done; });
        CHECK(caller.clean && caller.answer.starts_with(expected) && caller.answer.empty() == !*expected);
    }
    // An unterminated line over the length limit gets NAK, and the rest of the line is discarded.
    ControlClient endless{io, at, std::string(20'000, 'x')};
    run_until(io, [&] { return endless.done; });
    CHECK(endless.answer.starts_with("NAK"));
    // Only the first of two lines sent together gets a response.
    CHECK(send_command(io, at, "HEALTH\nDUMP") == "ACK takes clients\n");
    CHECK(send_command(io, at, "OFFLINE s-1") == "ACK out s-1\n" &&
          send_command(io, at, "ONLINE s-1") == "NAK no such box\n");
    router.lifecycle.enter(Lifecycle::Phase::draining);
    CHECK(send_command(io, at, "HEALTH") == "NAK draining\n");
}

std::uint64_t counter_value(const std::string& dump, const std::string& name) {
    const auto at = dump.find("edge." + name + "=");
    CHECK(at != std::string::npos && dump.ends_with("\n--\n"));
    return std::stoull(dump.substr(at + 6 + name.size()));
}

void counters_show_each_outcome() {
    net::asio::io_context io;
    Server server{io};
    Router router{io, {}, 2};
    ControlServer control{io, router};
    const auto dump = [&] {
        return send_command(io, control.server.local(), "DUMP");
    };
    const auto is = [&](const std::string& name, std::uint64_t wanted) {
        const std::string text = dump();
        if (counter_value(text, name) != wanted)
            std::fprintf(stderr, "%s", text.c_str());
        CHECK(counter_value(text, name) == wanted);
    };
    for (const char* name : {"success.pages", "busy.pages", "failure.lodge", "backend_calls", "inflight"})
        is(name, 0);
    Client client{io, router.server.local()};
    const auto done = [&](Request request) {
        client.send(std::move(request));
        run_until(io, [&] { return client.done; });
        CHECK(!client.broken);
        return client.status();
    };
    // Rejected by the decision module, because there is no server yet.
    CHECK(done(make_request("pages", kObject)) == 503);
    is("busy.pages", 1);
    router.list_with_sources({listed("s-a", server.address()), listed("s-far", "127.0.0.1:9", "other")});
    is("hosts_listed", 4);
    is("hosts_down", 0);
    // Served, then 304 Not Modified for the client's copy.
    CHECK(done(make_request("pages", kObject)) == 200);
    server.response = Server::hit("");
    server.response.result(net::http::status::not_modified);
    Request has = make_request("pages", kObject);
    has.set(net::http::field::if_none_match, "\"4be0c1927d55a6f3\"");
    CHECK(done(has) == 304);
    is("success.pages", 2);
    is("backend_calls", 2);
    // Served from the router's response cache without an attempt on a server.
    router.engine.enable_response_cache({.bytes = 1 << 20, .uplink = {1e9, 1e9}});
    router.engine.purge_coverage()->set_live(router.clock.now() - 1h);
    server.response = Server::hit("bytes");
    server.response.set("Made-At", std::to_string(router.clock.unix_ms()));
    CHECK(done(make_request("pages", kObject)) == 200 && done(make_request("pages", kObject)) == 200);
    is("success.pages", 4);
    is("backend_calls", 3);
    // Failed: the connection is reset after the request may have run, and its class is not idempotent.
    server.behaviour = Server::Behaviour::reset_after_reading;
    CHECK(done(make_request("lodge", "00000000000000a1")) == 502);
    is("failure.lodge", 1);
    is("backend_calls", 4);
    // Invalid: a read of a write-only class. A request of an unknown class is not counted.
    Request invalid = make_request("lodge", kObject);
    invalid.method(net::http::verb::get);
    CHECK(done(invalid) == 502);
    is("failure.lodge", 2);
    Request unknown = make_request("pages", kObject);
    unknown.target("/ops/nothing/" + kObject + "/piece-0");
    CHECK(done(unknown) == 502);
    // Deadline exceeded: the class allows no attempt on another server.
    server.behaviour = Server::Behaviour::never_respond;
    CHECK(done(make_request("lodge", "00000000000000a2", 300)) == 504);
    is("failure.lodge", 3);
    is("failure.pages", 0);
    is("inflight", 0);
    // Open requests are counted as in flight. Requests over the limit of open requests are rejected. Requests
    // abandoned by their clients are not counted.
    const std::size_t seen = server.seen.size();
    Client one{io, router.server.local()};
    Client two{io, router.server.local()};
    one.send(make_request("pages", "00000000000000b1", 9'000));
    two.send(make_request("lodge", "00000000000000b2", 9'000));
    run_until(io, [&] { return server.seen.size() == seen + 2; });
    is("inflight", 2);
    CHECK(done(make_request("pages", "00000000000000b3")) == 503);
    is("busy.pages", 2);
    one.leave();
    two.leave();
    run_until(io, [&] { return router.engine.open() == 0; });
    is("inflight", 0);
    const std::string last = dump();
    CHECK(counter_value(last, "success.pages") == 4 && counter_value(last, "busy.pages") == 2);
    CHECK(counter_value(last, "failure.lodge") == 3 && counter_value(last, "busy.lodge") == 0);
    // GET /counters of the platform's front end shows the same values.
    client.send(Request{net::http::verb::get, "/counters", 11});
    run_until(io, [&] { return client.done; });
    for (const std::string name : {"backend_calls", "inflight", "hosts_listed", "hosts_down"})
        CHECK(client.response.body().find("\n" + name + " " + std::to_string(counter_value(last, name)) +
                                          "\n") != std::string::npos);
    CHECK(client.response.body().find("\nsuccess_pages 4\n") != std::string::npos);
    // A server that refuses connections is counted as down.
    server.stop_listening();
    router.list({listed("s-a", "127.0.0.1:9")}, false);
    for (int i = 0; i < 4; ++i)
        done(make_request("pages", "00000000000000c" + std::to_string(i)));
    is("hosts_down", 1);
}

}  // namespace

int main() {
    commands_are_parsed_or_rejected();
    misbehaving_clients_are_limited();
    counters_show_each_outcome();
    std::puts("admin: commands, connection limits and counters are correct");
}

// The second address on real sockets: its words by table, callers that misbehave, and figures for each kind
// of end.
#include "front/admin/admin.h"

#include "front/admin/command_parser.h"
#include "net/line_server.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
namespace admin = silverrail::front::admin;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

void commands_are_parsed_or_refused() {
    using Kind = admin::Command::Kind;
    struct Row {
        std::string line;
        bool ended;
        std::optional<Kind> kind;  // absent: a no
        std::string server{};
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
        {"HEALTH", false, std::nullopt},   // half a call, then closed
        {"", true, std::nullopt},          // an empty line
        {"\r", true, std::nullopt},        // also an empty one
        {"health", true, std::nullopt},    // words are as written
        {" HEALTH", true, std::nullopt},   // nothing before them
        {"HEALTH ", true, std::nullopt},   // nor behind
        {"DUMP all", true, std::nullopt},  // an extra word
        {"HEALTHY", true, std::nullopt},
        {"OFFLINE s-00c41f7a", true, Kind::offline, "s-00c41f7a"},
        {"ONLINE s-00c41f7a\r", true, Kind::online, "s-00c41f7a"},
        {"OFFLINE", true, std::nullopt},  // which one?
        {"OFFLINE ", true, std::nullopt},
        {"OFFLINE s-1 s-2", true, std::nullopt},  // one at a time
        {"OFFLINE  s-1", true, std::nullopt},
        {"ONLINE s\t1", true, std::nullopt},
        {"OFFLINE " + std::string(129, 'x'), true, std::nullopt},
        {"OFFLINES-1", true, std::nullopt},
        {std::string{"HEALTH\0", 7}, true, std::nullopt},
        {"HEALTH\rDUMP", true, std::nullopt},
        {"HEALTH\xc3\xa4", true, std::nullopt},
        {std::string(300, 'A'), false, std::nullopt},  // over the bound
    };
    for (const Row& row : rows) {
        const auto call = admin::parse_command(row.line, row.ended);
        const auto* good = std::get_if<admin::Command>(&call);
        CHECK((good != nullptr) == row.kind.has_value());
        if (good)
            CHECK(good->kind == *row.kind && good->target == row.server);
        if (!good)
            CHECK(!std::get<admin::CommandError>(call).reason.empty());
    }
    CHECK(admin::acknowledge() == "ACK\n" && admin::reject("why not") == "NAK why not\n");
}

struct FixedOverrides : admin::OverrideCommands {
    admin::CommandResult take_offline(const core::ServerId& server) override {
        return {true, "out " + server.address};
    }
    admin::CommandResult bring_online(const core::ServerId&) override {
        return {false, "no such box"};
    }
};

struct Control {
    Control(net::asio::io_context& io, Router& router, net::LineLimits limits = {})
        : admin(router.engine, overrides, router.lifecycle, router.log),
          server(
              io, loopback(), limits,
              [this](std::string_view line, bool ended) { return admin.answer(line, ended); }, router.log) {
        server.start();
    }
    FixedOverrides overrides;
    admin::Admin admin;
    net::LineServer server;
};

void misbehaving_callers_are_bounded() {
    net::asio::io_context io;
    Router router{io};
    Control control{io, router, {.connections = 8, .line = 32}};
    const auto at = control.server.local();
    CHECK(send_command(io, at, "HEALTH") == "ACK takes clients\n");
    // Silent ones and ones with half a call, far more than there are places: a new caller is served all the
    // same, and no more are held than the bound.
    std::vector<std::unique_ptr<ControlClient>> crowd;
    for (int i = 0; i < 200; ++i) {
        crowd.push_back(std::make_unique<ControlClient>(io, at, i % 2 == 0 ? "" : "HEA"));
        if (i % 50 == 49)
            CHECK(send_command(io, at, "HEALTH").starts_with("ACK"));
        CHECK(control.server.connections() <= 8);
    }
    // One of the last of them finishes its call, in pieces, and gets its answer.
    crowd.back()->send("L");
    crowd.back()->send("TH\n");
    run_until(io, [&] { return crowd.back()->done; });
    CHECK(crowd.back()->answer == "ACK takes clients\n" && crowd.back()->clean);
    // A half-closed caller still gets its answer; half a line and an end gets a no, nothing at all a close.
    for (const auto& [says, wants] : {std::pair{"HEALTH\n", "ACK"}, {"HEALTH", "NAK"}, {"", ""}}) {
        ControlClient caller{io, at, says};
        caller.half_close();
        run_until(io, [&] { return caller.done; });
        CHECK(caller.clean && caller.answer.starts_with(wants) && caller.answer.empty() == !*wants);
    }
    // A line over the bound, without end: a no, and nothing more is kept of it.
    ControlClient endless{io, at, std::string(20'000, 'x')};
    run_until(io, [&] { return endless.done; });
    CHECK(endless.answer.starts_with("NAK"));
    // A second line with the first: one answer.
    CHECK(send_command(io, at, "HEALTH\nDUMP") == "ACK takes clients\n");
    CHECK(send_command(io, at, "OFFLINE s-1") == "ACK out s-1\n" &&
          send_command(io, at, "ONLINE s-1") == "NAK no such box\n");
    router.lifecycle.enter(Lifecycle::Phase::draining);
    CHECK(send_command(io, at, "HEALTH") == "NAK draining\n");
}

std::uint64_t figure(const std::string& dump, const std::string& name) {
    const auto at = dump.find("edge." + name + "=");
    CHECK(at != std::string::npos && dump.ends_with("\n--\n"));
    return std::stoull(dump.substr(at + 6 + name.size()));
}

void counters_show_each_outcome() {
    net::asio::io_context io;
    Server server{io};
    Router router{io, {}, 2};
    Control control{io, router};
    const auto dump = [&] {
        return send_command(io, control.server.local(), "DUMP");
    };
    const auto is = [&](const std::string& name, std::uint64_t wanted) {
        const std::string text = dump();
        if (figure(text, name) != wanted)
            std::fprintf(stderr, "%s", text.c_str());
        CHECK(figure(text, name) == wanted);
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
    // Refused by the module: there is no server yet.
    CHECK(done(make_request("pages", kObject)) == 503);
    is("busy.pages", 1);
    router.list_with_sources({listed("s-a", server.address()), listed("s-far", "127.0.0.1:9", "other")});
    is("hosts_listed", 4);
    is("hosts_down", 0);
    // Served, then told that the client's copy holds.
    CHECK(done(make_request("pages", kObject)) == 200);
    server.response = Server::hit("");
    server.response.result(net::http::status::not_modified);
    Request has = make_request("pages", kObject);
    has.set(net::http::field::if_none_match, "\"4be0c1927d55a6f3\"");
    CHECK(done(has) == 304);
    is("success.pages", 2);
    is("backend_calls", 2);
    // A copy of its own: served without a call to a server.
    router.engine.enable_response_cache({.bytes = 1 << 20, .uplink = {1e9, 1e9}});
    router.engine.set_purges_reliable(true);
    server.response = Server::hit("bytes");
    server.response.set("Made-At", std::to_string(router.clock.unix_ms()));
    CHECK(done(make_request("pages", kObject)) == 200 && done(make_request("pages", kObject)) == 200);
    is("success.pages", 4);
    is("backend_calls", 3);
    // Failed: cut off after it may have run, and never to be run twice.
    server.behaviour = Server::Behaviour::reset_after_reading;
    CHECK(done(make_request("lodge", "00000000000000a1")) == 502);
    is("failure.lodge", 1);
    is("backend_calls", 4);
    // Unfit: a read of a class that writes. An unknown class counts nowhere.
    Request unfit = make_request("lodge", kObject);
    unfit.method(net::http::verb::get);
    CHECK(done(unfit) == 502);
    is("failure.lodge", 2);
    Request unknown = make_request("pages", kObject);
    unknown.target("/ops/nothing/" + kObject + "/piece-0");
    CHECK(done(unknown) == 502);
    // Past its deadline: one that no other server may be asked for.
    server.behaviour = Server::Behaviour::never_respond;
    CHECK(done(make_request("lodge", "00000000000000a2", 300)) == 504);
    is("failure.lodge", 3);
    is("failure.pages", 0);
    is("inflight", 0);
    // Open ones are in flight; over the bound the door refuses, and who has left counts nowhere.
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
    CHECK(figure(last, "success.pages") == 4 && figure(last, "busy.pages") == 2);
    CHECK(figure(last, "failure.lodge") == 3 && figure(last, "busy.lodge") == 0);
    // The same numbers as the counters of the platform's front.
    client.send(Request{net::http::verb::get, "/counters", 11});
    run_until(io, [&] { return client.done; });
    for (const std::string name : {"backend_calls", "inflight", "hosts_listed", "hosts_down"})
        CHECK(client.response.body().find("\n" + name + " " + std::to_string(figure(last, name)) + "\n") !=
              std::string::npos);
    CHECK(client.response.body().find("\nsuccess_pages 4\n") != std::string::npos);
    // A server that refuses connections is avoided, and shows.
    server.stop_listening();
    router.list({listed("s-a", "127.0.0.1:9")}, false);
    for (int i = 0; i < 4; ++i)
        done(make_request("pages", "00000000000000c" + std::to_string(i)));
    is("hosts_down", 1);
}

}  // namespace

int main() {
    commands_are_parsed_or_refused();
    misbehaving_callers_are_bounded();
    counters_show_each_outcome();
    std::puts("admin: the second address answers everybody, and its figures are true");
}

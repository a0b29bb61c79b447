// The program itself: started with a configuration file, followed through its phases, ended by SIGTERM.
#include <memory>

#include "router_process.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";
// The latest time after its issue at which a purge must take effect, by the sample settings.
constexpr auto kMustTakeEffect = cache::PurgeCoverage::kToldWithin + 500ms;

// Servers that hang for longer than SIGKILL waits after SIGTERM (3.7 s with these settings): whoever still
// waits is answered before that, and the process ends by itself.
void hung_servers_do_not_hold_up_the_exit() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    server.behaviour = Server::Behaviour::never_respond;
    RouterProcess program{discovery.address(), server.address()};
    run_until(io, [&] { return program.listens(); });
    Client waits{io, program.at};
    waits.send(make_request("lodge", kObject, 9000));
    run_until(io, [&] { return server.seen.size() == 1; });
    program.end();
    const auto killed = std::chrono::steady_clock::now() + 3700ms;
    run_until(io, [&] { return waits.done; });
    CHECK(!waits.broken && waits.status() == 502 && std::chrono::steady_clock::now() < killed);
    waits.leave();
    // By itself; how long its exit takes (under sanitizers the search for leaks) owes nobody anything.
    run_until(io, [&] { return program.ended(); });
    CHECK(program.logged("phase stopped") && server.seen.size() == 1);
}

// One program through its life, with its discovery and two servers. The scenarios below follow each other.
struct ProgramFixture {
    ProgramFixture() {
        run_until(io, [&] { return program.listens(); });
        client = std::make_unique<Client>(io, program.at);
    }
    unsigned get(const std::string& target) {
        return request(Request{http::verb::get, target, 11});
    }
    unsigned request(const Request& wanted) {
        client->send(wanted);
        run_until(io, [&] { return client->done; });
        CHECK(!client->broken);
        return client->status();
    }
    std::string counters() {
        CHECK(get("/counters") == 200);
        return client->response.body();
    }
    void wait_for_counter(const char* line) {
        run_until(io, [&] { return counters().find(line) != std::string::npos; });
    }
    // Responses from the router's own cache.
    int cached_responses() {
        const std::string text = counters();
        return std::stoi(text.substr(text.find("\nown_fresh ") + 11));
    }

    // Whether a request for the object makes the program ask a server for it.
    bool is_server_asked() {
        const std::size_t asked_before = server.seen.size();
        CHECK(request(make_request("pages", kObject)) == 200);
        return server.seen.size() == asked_before + 1;
    }
    void say_comments_until(std::chrono::steady_clock::time_point end) {
        while (std::chrono::steady_clock::now() < end) {
            discovery.say(": here\n\n");
            const auto next_line = std::chrono::steady_clock::now() + 400ms;
            run_until(io, [&] { return std::chrono::steady_clock::now() > next_line; });
        }
    }

    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    Server second{io};
    RouterProcess program{discovery.address(), server.address()};
    std::unique_ptr<Client> client;
};

// The list of the start serves before discovery has said anything; then it resumes after that.
void listed_servers_serve_before_discovery(ProgramFixture& f) {
    CHECK(f.get("/alive") == 200);
    CHECK(f.request(make_request("pages", kObject)) == 200 && f.server.seen.size() == 1);
    run_until(f.io, [&] { return f.discovery.resumed_after.size() == 1; });
    CHECK(f.discovery.resumed_after[0] == "1");
}

// Once discovery is known to be live, what was passed on is served from the cache.
void cache_serves_while_discovery_is_live(ProgramFixture& f) {
    const int before = f.cached_responses();
    run_until(f.io, [&] {
        f.discovery.say(": here\n\n");
        CHECK(f.request(make_request("pages", kObject)) == 200);
        CHECK(f.client->response.body() == f.server.response.body());
        return f.cached_responses() > before;
    });
}

// After a break a purge may have been missed, and lines that arrive later than the first do not show that all
// missed events have been told. Such a line had copies used from before a purge that must have taken effect.
void missed_events_may_be_told_late(ProgramFixture& f) {
    const auto purges_overdue = std::chrono::steady_clock::now() + kMustTakeEffect;
    CHECK(f.is_server_asked());
    f.say_comments_until(purges_overdue);
    CHECK(f.is_server_asked());
}

// review/7: on an open stream with its comments, too, a purge may be told late. A copy was used that may
// predate a purge which must have taken effect: one that was requested before the servers had cleared theirs.
void an_open_stream_may_be_behind(ProgramFixture& f) {
    constexpr auto kCleared = 6s;
    f.say_comments_until(std::chrono::steady_clock::now() + kMustTakeEffect);
    for (int i = 0; i < 2; ++i) {
        CHECK(f.is_server_asked());
        f.say_comments_until(std::chrono::steady_clock::now() + kMustTakeEffect - kCleared);
    }
    CHECK(f.discovery.resumed_after.size() == 1);
}

// Cut off, it connects anew after the last event that it had; one that comes again is not applied twice.
void discovery_resumes_after_the_last_event(ProgramFixture& f) {
    f.discovery.say("id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    f.wait_for_counter("\npurges 1\n");
    f.discovery.cut();
    run_until(f.io, [&] { return f.discovery.resumed_after.size() == 2; });
    CHECK(f.discovery.resumed_after[1] == "2");
    missed_events_may_be_told_late(f);
    f.discovery.say(
        "id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n"
        "id: 3\ndata: {\"no\":3,\"roster\":{\"version\":2,\"full\":false,\"servers\":[" +
        server_json("s-a", f.server.address(), "small-box", "left") + "," +
        server_json("s-b", f.second.address(), "small-box", "active") + "]}}\n\n");
    run_until(f.io, [&] { return f.server.closed == 1; });  // the old server's connection is dropped
    f.wait_for_counter("\npurges 1\n");
    // An object of which the router has no copy of its own.
    CHECK(f.request(make_request("pages", "00000000000000bb")) == 200 && f.second.seen.size() == 1);
}

// Silence without an end: no comment comes, so the connection is taken for dead.
void silent_discovery_is_connected_anew(ProgramFixture& f) {
    run_until(f.io, [&] { return f.discovery.resumed_after.size() == 3; });
    CHECK(f.discovery.resumed_after[2] == "3");
}

// SIGHUP: a bad file changes nothing; a good one moves discovery, and its numbers go on. Open requests and
// the client's connection are not touched.
void reload_moves_discovery(ProgramFixture& f) {
    f.program.spoil_configuration();
    f.program.hang_up();
    run_until(f.io, [&] { return f.program.logged("reload-failed"); });
    f.second.behaviour = Server::Behaviour::never_respond;
    Client open{f.io, f.program.at};
    open.send(make_request("pages", "00000000000000bb", 4000));
    run_until(f.io, [&] { return f.second.seen.size() == 2; });
    DiscoveryServer moved{f.io};
    f.program.configure(moved.address(), "2");
    f.program.hang_up();
    run_until(f.io, [&] { return moved.resumed_after.size() == 1; });
    CHECK(moved.resumed_after[0] == "3" && !open.broken);
    run_until(f.io, [&] { return f.program.logged("reload seed has changed: not applied"); });
    moved.say("id: 4\ndata: {\"no\":4,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    f.wait_for_counter("\npurges 2\n");
    CHECK(f.get("/alive") == 200);
    f.second.behaviour = Server::Behaviour::answer;
    run_until(f.io, [&] { return open.done; });  // its one answer, from another attempt or a refusal
    CHECK(!open.broken && open.status() >= 200);
    // And again, back to the first.
    const std::size_t before = f.discovery.resumed_after.size();
    f.program.configure(f.discovery.address(), "1");
    f.program.hang_up();
    run_until(f.io, [&] { return f.discovery.resumed_after.size() > before; });
    CHECK(f.discovery.resumed_after.back() == "4");
}

// SIGUSR2: what the flight recorder kept is written, whole, and this build decides the same again.
void dumped_trace_replays(ProgramFixture& f) {
    CHECK(f.program.dumped().empty());
    f.program.dump();
    run_until(f.io, [&] { return f.program.logged("trace dumped"); });
    const std::string dumped = f.program.dumped();
    CHECK(f.program.run("trace verify " + dumped) == 0 && f.program.run("trace replay " + dumped) == 0);
    CHECK(f.program.run("trace show " + dumped + " --outcome nonsense") == 2);
    CHECK(f.program.run("trace verify /dev/null") == 4 && f.program.run("trace info /nowhere.slt") == 1);
}

// The operator's file: a good one, and one that is wrong, which a running program does not take either.
void wrong_operator_settings_are_not_applied(ProgramFixture& f) {
    CHECK(f.program.run("check") == 0);
    f.program.settings(R"({"trace":{"folder":"","colour":"red"}})");
    CHECK(f.program.run("check") == 2);
    f.program.hang_up();
    run_until(f.io, [&] { return f.program.logged("trace.colour: no such setting; nothing was changed"); });
    CHECK(f.get("/alive") == 200);
}

// SIGTERM: open requests are finished, new connections are still accepted for a while, then it exits with 0.
void shutdown_finishes_open_requests(ProgramFixture& f) {
    f.second.behaviour = Server::Behaviour::never_respond;
    Client slow{f.io, f.program.at};
    const std::size_t seen = f.second.seen.size();
    slow.send(make_request("pages", kObject, 1800));
    run_until(f.io, [&] { return f.second.seen.size() > seen; });
    f.program.end();
    run_until(f.io, [&] { return f.get("/alive") == 503; });
    CHECK(f.client->response.body() == "draining");
    f.second.behaviour = Server::Behaviour::answer;
    Client late{f.io, f.program.at};
    late.send(make_request("pages", "00000000000000aa"));
    run_until(f.io, [&] { return late.done; });
    CHECK(late.status() == 200 && !slow.done);
    run_until(f.io, [&] { return slow.done; });
    CHECK(!slow.broken && slow.status() >= 200);  // its one answer, from another attempt or a refusal
    run_until(f.io, [&] { return f.program.ended(); });
}

}  // namespace

int main() {
    hung_servers_do_not_hold_up_the_exit();
    ProgramFixture fixture;
    listed_servers_serve_before_discovery(fixture);
    cache_serves_while_discovery_is_live(fixture);
    an_open_stream_may_be_behind(fixture);
    discovery_resumes_after_the_last_event(fixture);
    silent_discovery_is_connected_anew(fixture);
    reload_moves_discovery(fixture);
    dumped_trace_replays(fixture);
    wrong_operator_settings_are_not_applied(fixture);
    shutdown_finishes_open_requests(fixture);
    std::puts("program: it starts, follows discovery and ends as it should");
}

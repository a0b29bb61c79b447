// The program itself: started with a configuration file, followed through its phases, ended by SIGTERM.
#include "router_process.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

unsigned get(asio::io_context& io, Client& client, const std::string& target, std::string* body = nullptr) {
    client.send(Request{http::verb::get, target, 11});
    run_until(io, [&] { return client.done; });
    CHECK(!client.broken);
    if (body)
        *body = client.response.body();
    return client.status();
}

// Servers that hang for longer than SIGKILL waits after SIGTERM (3.7 s with these settings): whoever still
// waits is answered before that, and the process ends by itself.
void hung_servers_do_not_hold_up_the_exit() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    server.act = Server::Act::stay_silent;
    RouterProcess program{discovery.address(), server.address()};
    run_until(io, [&] { return program.listens(); });
    Client waits{io, program.at};
    waits.send(ask("lodge", kObject, 9000));
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

}  // namespace

int main() {
    hung_servers_do_not_hold_up_the_exit();
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    Server second{io};
    RouterProcess program{discovery.address(), server.address()};
    run_until(io, [&] { return program.listens(); });
    Client client{io, program.at};
    CHECK(get(io, client, "/alive") == 200);

    // The list of the start serves before discovery has said anything; then it resumes after that.
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && server.seen.size() == 1);
    run_until(io, [&] { return discovery.resumed_after.size() == 1; });
    CHECK(discovery.resumed_after[0] == "1");
    const auto purges = [&](const char* wanted) {
        std::string counters;
        run_until(io, [&] {
            CHECK(get(io, client, "/counters", &counters) == 200);
            return counters.find(wanted) != std::string::npos;
        });
    };
    // What it passed on answers again by itself once discovery is known to be live, a server's silence or
    // not.
    const auto own = [&] {
        std::string counters;
        CHECK(get(io, client, "/counters", &counters) == 200);
        return std::stoi(counters.substr(counters.find("\nown_fresh ") + 11));
    };
    const auto ask_until_own = [&] {
        const int before = own();
        run_until(io, [&] {
            discovery.say(": here\n\n");
            client.send(ask("pages", kObject));
            run_until(io, [&] { return client.done; });
            CHECK(client.status() == 200 && client.response.body() == server.response.body());
            return own() > before;
        });
    };
    ask_until_own();
    discovery.say("id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    purges("\npurges 1\n");
    // Cut off, it connects anew and says what it had last; what it is told again is not taken twice.
    discovery.cut();
    run_until(io, [&] { return discovery.resumed_after.size() == 2; });
    CHECK(discovery.resumed_after[1] == "2");
    // Right after a break a purge may have been missed: the server is asked.
    const std::size_t asked_before = server.seen.size();
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && server.seen.size() == asked_before + 1);
    discovery.say(
        "id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n"
        "id: 3\ndata: {\"no\":3,\"roster\":{\"version\":2,\"full\":false,\"servers\":[" +
        server_json("s-a", server.address(), "small-box", "left") + "," +
        server_json("s-b", second.address(), "small-box", "active") + "]}}\n\n");
    run_until(io, [&] { return server.closed == 1; });  // the old server's connection is dropped
    purges("\npurges 1\n");
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && second.seen.size() == 1);
    // Silence without an end: no comment comes, so the connection is taken for dead.
    run_until(io, [&] { return discovery.resumed_after.size() == 3; });
    CHECK(discovery.resumed_after[2] == "3");

    // SIGHUP: a bad file changes nothing; a good one moves discovery, and its numbers go on. What is open,
    // and the client's connection, are not touched.
    program.spoil_configuration();
    program.hang_up();
    run_until(io, [&] { return program.logged("reload-failed"); });
    second.act = Server::Act::stay_silent;
    Client open{io, program.at};
    open.send(ask("pages", "00000000000000bb", 4000));
    run_until(io, [&] { return second.seen.size() == 2; });
    DiscoveryServer moved{io};
    program.configure(moved.address(), "2");
    program.hang_up();
    run_until(io, [&] { return moved.resumed_after.size() == 1; });
    CHECK(moved.resumed_after[0] == "3" && !open.broken);
    run_until(io, [&] { return program.logged("reload seed has changed: not applied"); });
    moved.say("id: 4\ndata: {\"no\":4,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    purges("\npurges 2\n");
    CHECK(get(io, client, "/alive") == 200);
    second.act = Server::Act::answer;
    run_until(io, [&] { return open.done; });  // its one answer, from another attempt or a refusal
    CHECK(!open.broken && open.status() >= 200);
    // And again, back to the first.
    const std::size_t before = discovery.resumed_after.size();
    program.configure(discovery.address(), "1");
    program.hang_up();
    run_until(io, [&] { return discovery.resumed_after.size() > before; });
    CHECK(discovery.resumed_after.back() == "4");

    // SIGUSR2: what the flight recorder kept is written, whole, and this build decides the same again.
    CHECK(program.dumped().empty());
    program.dump();
    run_until(io, [&] { return program.logged("trace dumped"); });
    const std::string dumped = program.dumped();
    CHECK(program.run("trace verify " + dumped) == 0 && program.run("trace replay " + dumped) == 0);
    CHECK(program.run("trace show " + dumped + " --outcome nonsense") == 2);
    CHECK(program.run("trace verify /dev/null") == 4 && program.run("trace info /nowhere.slt") == 1);
    // The operator's file: a good one, and one that is wrong, which a running program does not take either.
    CHECK(program.run("check") == 0);
    program.settings(R"({"trace":{"folder":"","colour":"red"}})");
    CHECK(program.run("check") == 2);
    program.hang_up();
    run_until(io, [&] { return program.logged("trace.colour: no such setting; nothing was changed"); });
    CHECK(get(io, client, "/alive") == 200);

    // SIGTERM: what is open is finished, new connections are still taken for a while, then it exits with 0.
    second.act = Server::Act::stay_silent;
    Client slow{io, program.at};
    const std::size_t seen = second.seen.size();
    slow.send(ask("pages", kObject, 1800));
    run_until(io, [&] { return second.seen.size() > seen; });
    program.end();
    std::string phase;
    run_until(io, [&] { return get(io, client, "/alive", &phase) == 503; });
    CHECK(phase == "draining");
    second.act = Server::Act::answer;
    Client late{io, program.at};
    late.send(ask("pages", "00000000000000aa"));
    run_until(io, [&] { return late.done; });
    CHECK(late.status() == 200 && !slow.done);
    run_until(io, [&] { return slow.done; });
    CHECK(!slow.broken && slow.status() >= 200);  // its one answer, from another attempt or a refusal
    run_until(io, [&] { return program.ended(); });
    std::puts("program: it starts, follows the bulletin and ends as it should");
}

// The program as a process whose system calls fail in documented ways, or whose clock steps, at an instant
// that the test chooses. A scenario a run.
#include <algorithm>
#include <cstring>
#include <sstream>

#include "router_process.h"

using namespace silverrail;
using namespace silverrail::test;
using lab::CallFault;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

std::int64_t unix_ms() {
    return net::SystemClock{}.unix_ms();
}

struct World {
    explicit World(const std::string& control = {})
        : faults(
              (std::filesystem::temp_directory_path() / ("silverrail-faults-" + std::to_string(::getpid())))
                  .string()),
          program(discovery.address(), server.address(), control, &faults) {
        run_until(io, [&] { return program.listens(); });
        run_until(io, [&] { return discovery.resumed_after.size() == 1; });
    }
    ~World() {
        std::filesystem::remove(faults.path());
    }

    // The answer's status; 0 if none came within `most`.
    unsigned status_within(Request request, std::chrono::milliseconds most) {
        Client client{io, program.at};
        client.send(std::move(request));
        const auto bound = std::chrono::steady_clock::now() + most;
        run_until(io, [&] { return client.done || std::chrono::steady_clock::now() > bound; });
        return client.done && !client.broken ? client.status() : 0;
    }
    void wait(std::chrono::milliseconds span) {
        const auto until = std::chrono::steady_clock::now() + span;
        run_until(io, [&] { return std::chrono::steady_clock::now() > until; });
    }
    std::string counter(const std::string& name) {
        Client client{io, program.at};
        client.send(Request{net::http::verb::get, "/counters", 11});
        run_until(io, [&] { return client.done; });
        const std::string text = "\n" + client.response.body();
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos
                   ? ""
                   : text.substr(at + name.size() + 2, text.find('\n', at + 1) - at - name.size() - 2);
    }
    void tell(const std::string& no, const std::string& what) {
        discovery.say("id: " + no + "\ndata: {\"no\":" + no + "," + what + "}\n\n");
    }

    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    lab::FaultFile faults;
    RouterProcess program;
};

// The system takes a third of what it is given, as it may: answers, requests and writes go out all the same.
void short_writes() {
    World world;
    world.server.response = Server::hit(std::string(120'000, 'x'));
    for (int calls = 1; calls <= 6; ++calls) {
        world.faults.fail_next(CallFault::write_short, static_cast<std::uint32_t>(calls));
        CHECK(world.status_within(make_request("pages", kObject, 1500), 2000ms) == 200);
        world.faults.fail_next(CallFault::write_short, static_cast<std::uint32_t>(calls));
        Request write = make_request("lodge", kObject, 1500);
        write.body() = std::string(40'000, 'w');
        CHECK(world.status_within(std::move(write), 2000ms) == 200);
    }
    CHECK(world.faults.delivered(CallFault::write_short) > 20);
}

// A connection that was given up before it was taken: those behind it in the queue are still taken at once.
void aborted_accept() {
    World world;
    for (int calls = 1; calls <= 3; ++calls) {
        world.faults.fail_next(CallFault::accept_aborted, static_cast<std::uint32_t>(calls));
        CHECK(world.status_within(make_request("pages", kObject, 1000), 1500ms) == 200);
    }
    CHECK(world.faults.delivered(CallFault::accept_aborted) == 6);
}

// The file of the configuration can't be opened or read for a moment: the new discovery is followed all the
// same.
void reload_fails_for_a_moment() {
    World world;
    DiscoveryServer moved{world.io};
    world.program.configure(moved.address(), "1");
    world.faults.fail_next(CallFault::file_open, 3);
    world.faults.fail_next(CallFault::file_read, 2);
    world.program.hang_up();
    // What discovery has to tell counts as told 4 s after the signal.
    const auto bound = std::chrono::steady_clock::now() + 4s;
    run_until(world.io,
              [&] { return moved.resumed_after.size() == 1 || std::chrono::steady_clock::now() > bound; });
    CHECK(moved.resumed_after.size() == 1);
}

// No socket, buffer or file for the first moments: it starts once there is.
void start_fails_for_a_moment() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    lab::FaultFile faults{
        (std::filesystem::temp_directory_path() / ("silverrail-faults-" + std::to_string(::getpid())))
            .string()};
    for (const CallFault fault :
         {CallFault::socket_no_files, CallFault::socket_no_buffers, CallFault::file_open}) {
        faults.fail_next(fault, 3);
        RouterProcess program{discovery.address(), server.address(), "", &faults};
        run_until(io, [&] { return program.listens() || program.logged("fatal"); });
        CHECK(program.listens());
    }
    std::filesystem::remove(faults.path());
}

// Discovery that many ask at once takes seconds to answer: it is waited for, not asked anew each time.
void slow_discovery() {
    World world;
    world.discovery.answer_after = 4s;
    world.discovery.cut();
    const auto bound = std::chrono::steady_clock::now() + 16s;
    run_until(world.io, [&] {
        return world.discovery.resumed_after.size() == 2 || std::chrono::steady_clock::now() > bound;
    });
    CHECK(world.discovery.resumed_after.size() == 2);
}

// A purge that is told after the clock has stepped: copies from before it are not asked for.
void purge_after_step(std::int64_t step_ms) {
    World world;
    CHECK(world.status_within(make_request("pages", kObject), 2000ms) == 200);
    world.faults.step_wall_clock(step_ms);
    CHECK(world.status_within(make_request("pages", "00000000000000aa"), 2000ms) == 200);
    const auto issued = unix_ms();
    world.tell("2", R"("recall":{"lot":17,"issued":)" + std::to_string(issued) + "}");
    run_until(world.io, [&] { return world.counter("purges") == "1"; });
    world.wait(10ms);  // the least that can be asked for is 1 ms
    CHECK(world.status_within(make_request("pages", "00000000000000bb"), 2000ms) == 200);
    const auto& request = world.server.seen.back().request;
    CHECK(request.target().find("bb") != net::beast::string_view::npos);
    const auto oldest = std::atoll(std::string{request["No-Older-Than"]}.c_str());
    // Not older than the purge, and no stricter than by the way of the news and what the clocks may differ
    // by.
    CHECK(oldest >= 1 && oldest <= unix_ms() - issued);
    world.wait(1s);
    CHECK(world.status_within(make_request("pages", "00000000000000cc"), 2000ms) == 200);
    const auto then = std::atoll(std::string{world.server.seen.back().request["No-Older-Than"]}.c_str());
    CHECK(then >= 900 && then <= unix_ms() - issued);
}

void wall_clock_forward() {
    purge_after_step(3'600'000);
    purge_after_step(30'000);
}
void wall_clock_back() {
    purge_after_step(-3'600'000);
    purge_after_step(-3'000);
}

// Trouble of this machine's own in opening a connection: nothing was sent, and no server has a part in it.
void local_connect_errors() {
    World world;
    for (const CallFault fault : {CallFault::socket_no_files, CallFault::socket_no_buffers,
                                  CallFault::connect_no_address, CallFault::connect_unreachable})
        for (const char* kind : {"pages", "lodge"}) {
            world.server.reset_connections();
            world.faults.fail_next(fault, 2);
            CHECK(world.status_within(make_request(kind, kObject, 1500), 2000ms) == 200);
        }
    CHECK(world.counter("ending_no_connection") == "0");
}

// Guards against work at a new process that has the address of one that was replaced: the server's id is
// listed at another address while a connection to the old one is being tried.
void server_replaced_while_connecting() {
    World world;
    Server moved{world.io};
    world.faults.fail_next(CallFault::connect_no_address, 5);
    Client client{world.io, world.program.at};
    client.send(make_request("lodge", kObject, 3000));
    run_until(world.io, [&] { return world.faults.delivered(CallFault::connect_no_address) > 0; });
    world.tell("2", R"("roster":{"full":false,"servers":[)" +
                        server_json("s-a", moved.address(), "small-box", "active") + "]}");
    run_until(world.io, [&] { return client.done; });
    CHECK(world.server.seen.empty());
    CHECK(!client.broken && client.status() == 200 && moved.seen.size() == 1);
}

// The process gets no processor for a while, as on a crowded machine.
struct Stopped {
    explicit Stopped(World& of) : world(of) {
        CHECK(::kill(world.program.pid(), SIGSTOP) == 0);
    }
    ~Stopped() {
        CHECK(::kill(world.program.pid(), SIGCONT) == 0);
    }
    World& world;
};

bool reached(const World& world, const Request& request) {
    return std::any_of(world.server.seen.begin(), world.server.seen.end(),
                       [&](const auto& seen) { return seen.request["Call-Id"] == request["Trace-Id"]; });
}

std::string text_of_request(Request request) {
    request.prepare_payload();
    std::ostringstream out;
    out << request;
    return out.str();
}

// A request comes and its client leaves before the router has run again: nothing is begun for it.
void left_while_stopped() {
    for (const bool resets : {false, true})
        for (const bool early_bytes : {false, true}) {
            World world;
            Client waits{world.io, world.program.at};  // a connection that is open already
            const Request request = make_request("pages", kObject, 1500);
            std::optional<RawClient> leaves;
            {
                const Stopped stopped{world};
                leaves.emplace(world.io, world.program.at);
                leaves->send(text_of_request(request) + (early_bytes ? "GET /early" : ""));
                if (resets)
                    leaves->reset();
                else
                    leaves->half_close();
                world.wait(200ms);
            }
            CHECK(world.status_within(make_request("pages", "00000000000000aa", 1500), 2000ms) == 200);
            CHECK(!reached(world, request));
        }
}

std::int64_t told_ms(World& world, const Request& request) {
    run_until(world.io, [&] { return reached(world, request); });
    for (const auto& seen : world.server.seen)
        if (seen.request["Call-Id"] == request["Trace-Id"])
            return std::atoll(std::string{seen.request["Call-Ms"]}.c_str());
    return -1;
}

// A request waits unread while the router does not run: servers are told what its client has left.
void deadline_after_stop() {
    World world;
    for (const bool on_a_new_connection : {false, true}) {
        std::optional<Client> client;
        if (!on_a_new_connection)
            client.emplace(world.io, world.program.at);
        world.wait(100ms);
        const Request request =
            make_request("pages", on_a_new_connection ? kObject : "00000000000000aa", 1500);
        const auto sent = std::chrono::steady_clock::now();
        {
            const Stopped stopped{world};
            if (!client)
                client.emplace(world.io, world.program.at);
            client->send(request);
            world.wait(600ms);
        }
        const auto told = told_ms(world, request);
        CHECK(told <= 1500 - 600 + 150 && told > 0);
        run_until(world.io, [&] { return client->done; });
        CHECK(client->status() == 200 && std::chrono::steady_clock::now() - sent < 2s);
    }
}

// Sent at once with one before it, a request has waited for that one's answer, also where it is longer than
// what is read early.
void deadline_of_a_pipelined_request() {
    for (const std::size_t length : {std::size_t{9}, std::size_t{40'000}}) {
        World world;
        world.server.behaviour = Server::Behaviour::never_respond;
        const Request first = make_request("lodge", kObject, 500);
        Request second = make_request("lodge", "00000000000000aa", 1000);
        second.body() = std::string(length, 'w');
        RawClient client{world.io, world.program.at, text_of_request(first) + text_of_request(second)};
        CHECK(told_ms(world, first) <= 500);
        CHECK(told_ms(world, second) <= 1000 - 500 + 150);
    }
}

// What is out by hand holds over a disk that fails: nothing is refused that needs no writing, and what could
// not be kept is kept as soon as it can be.
void bans_on_a_failing_disk() {
    const auto at = free_endpoint();
    World world{text_of(at)};
    const auto kept = [&](const std::string& id) {
        for (const auto& file : std::filesystem::directory_iterator{world.program.folder()}) {
            if (file.path().extension() != ".bans")
                continue;
            std::ostringstream text;
            text << std::ifstream{file.path()}.rdbuf();
            return text.str().find("out " + id + "\n") != std::string::npos;
        }
        return false;
    };
    CHECK(send_command(world.io, at, "OFFLINE s-a").starts_with("ACK") && kept("s-a"));
    for (const CallFault fault : {CallFault::file_full, CallFault::file_sync, CallFault::file_rename}) {
        world.faults.set_chance(fault, lab::kFaultParts);
        CHECK(send_command(world.io, at, "OFFLINE s-a").starts_with("ACK"));
        CHECK(send_command(world.io, at, "OFFLINE s-p").starts_with("NAK") && !kept("s-p") && kept("s-a"));
        world.faults.clear_chances();
        run_until(world.io, [&] { return kept("s-p") && kept("s-a"); });
        CHECK(send_command(world.io, at, "ONLINE s-p").starts_with("ACK") && !kept("s-p"));
    }
    // A process that can't read them at its start for a moment knows them soon.
    CHECK(::kill(world.program.pid(), SIGKILL) == 0 && ::waitpid(world.program.pid(), nullptr, 0) > 0);
    world.faults.fail_next(CallFault::file_read, 4);
    const pid_t second = world.program.start(text_of(at));
    run_until(world.io, [&] { return world.program.listens(); });
    run_until(world.io,
              [&] { return send_command(world.io, at, "DUMP").find("hosts_down=1") != std::string::npos; });
    CHECK(::kill(second, SIGKILL) == 0 && ::waitpid(second, nullptr, 0) == second);
}

struct Scenario {
    const char* name;
    void (*run)();
};
constexpr Scenario kScenarios[] = {{"short_writes", short_writes},
                                   {"aborted_accept", aborted_accept},
                                   {"reload_fails_for_a_moment", reload_fails_for_a_moment},
                                   {"start_fails_for_a_moment", start_fails_for_a_moment},
                                   {"slow_discovery", slow_discovery},
                                   {"wall_clock_forward", wall_clock_forward},
                                   {"wall_clock_back", wall_clock_back},
                                   {"left_while_stopped", left_while_stopped},
                                   {"deadline_after_stop", deadline_after_stop},
                                   {"deadline_of_a_pipelined_request", deadline_of_a_pipelined_request},
                                   {"bans_on_a_failing_disk", bans_on_a_failing_disk},
                                   {"local_connect_errors", local_connect_errors},
                                   {"server_replaced_while_connecting", server_replaced_while_connecting}};

}  // namespace

int main(int argc, char** argv) {
    for (const auto& scenario : kScenarios)
        if (argc > 1 && std::strcmp(argv[1], scenario.name) == 0) {
            scenario.run();
            std::printf("faults: %s as it should be\n", scenario.name);
            return 0;
        }
    std::fprintf(stderr, "which scenario?\n");
    return 2;
}

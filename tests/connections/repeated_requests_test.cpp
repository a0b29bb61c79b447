// Guards against a request that runs twice when its id comes again: after its client has left, after its
// answer, or at the other process of an upgrade. With the real program.
#include <map>
#include <memory>
#include <set>

#include "../silverrail/router_process.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

struct RepeatFixture {
    RepeatFixture() {
        run_until(io, [&] { return is_ready(io, first); });
    }
    ~RepeatFixture() {
        if (second_pid <= 0)
            return;
        CHECK(::kill(second_pid, SIGKILL) == 0);
        CHECK(::waitpid(second_pid, nullptr, 0) == second_pid);
    }
    // New connections go to this process from now on.
    void start_second() {
        second_pid = program.start(text_of(second));
        run_until(io, [&] { return is_ready(io, second); });
    }
    std::unique_ptr<Client> connect() {
        return std::make_unique<Client>(io, program.at);
    }
    unsigned answer(Client& client, const Request& request) {
        client.send(request);
        run_until(io, [&] { return client.done; });
        CHECK(!client.broken);
        return client.status();
    }
    // Sends the request, and closes the connection while the server runs it.
    void leave_while_it_runs(Client& client, const Request& request, const tcp::endpoint& control) {
        const auto seen_before = server.seen.size();
        server.behaviour = Server::Behaviour::never_respond;
        client.send(request);
        run_until(io, [&] { return server.seen.size() > seen_before; });
        client.leave();
        run_until(io,
                  [&] { return send_command(io, control, "DUMP").find("inflight=0") != std::string::npos; });
        server.behaviour = Server::Behaviour::answer;
    }
    std::map<std::string, int> runs_by_id() const {
        std::map<std::string, int> runs;
        for (const auto& seen : server.seen)
            ++runs[std::string{seen.request["Call-Id"]}];
        return runs;
    }
    int most_runs_of_an_id() const {
        int most = 0;
        for (const auto& [id, runs] : runs_by_id())
            most = std::max(most, runs);
        return most;
    }

    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    tcp::endpoint first = free_endpoint();
    tcp::endpoint second = free_endpoint();
    RouterProcess program{discovery.address(), server.address(), text_of(first)};
    pid_t second_pid = -1;
};

void a_write_does_not_run_again_after_its_client_left() {
    RepeatFixture f;
    const Request request = make_request("lodge", kObject);
    f.leave_while_it_runs(*f.connect(), request, f.first);
    CHECK(f.answer(*f.connect(), request) == 502);
    CHECK(f.server.seen.size() == 1);
}

void a_write_does_not_run_again_after_its_answer() {
    RepeatFixture f;
    const Request request = make_request("lodge", kObject);
    CHECK(f.answer(*f.connect(), request) == 200);
    CHECK(f.answer(*f.connect(), request) == 502);
    CHECK(f.server.seen.size() == 1);
}

// Nothing of it ran, so it is a first run.
void a_write_that_no_server_received_may_come_again() {
    RepeatFixture f;
    f.server.response = Response{http::status::service_unavailable, 11};
    f.server.response.set("Not-Begun", "1");
    const Request request = make_request("lodge", kObject, 300);
    CHECK(f.answer(*f.connect(), request) == 503);
    f.server.response = Server::hit("done");
    CHECK(f.answer(*f.connect(), request) == 200);
}

void a_read_may_come_again() {
    RepeatFixture f;
    const Request request = make_request("pages", kObject);
    CHECK(f.answer(*f.connect(), request) == 200);
    CHECK(f.answer(*f.connect(), request) == 200);
}

// Each client sends many writes without waiting, closes soon after, and sends the first of them again.
void writes_of_clients_that_close_early_do_not_run_again() {
    constexpr int kClients = 12;
    constexpr int kWrites = 400;
    constexpr int kRepeated = 20;
    RepeatFixture f;
    std::vector<std::string> repeated;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < kClients; ++i) {
        std::string all;
        std::string again;
        for (int n = 0; n < kWrites; ++n) {
            Request request = make_request("lodge", kObject);
            request.prepare_payload();
            std::ostringstream text;
            text << request;
            all += text.str();
            again += n < kRepeated ? text.str() : "";
        }
        repeated.push_back(again);
        clients.push_back(std::make_unique<RawClient>(f.io, f.program.at, all));
    }
    const auto closing = std::chrono::steady_clock::now() + 50ms;
    run_until(f.io, [&] { return std::chrono::steady_clock::now() >= closing; });
    for (const auto& client : clients)
        client->reset();
    run_until(f.io, [&] { return f.most_runs_of_an_id() > 0; });
    std::vector<std::unique_ptr<RawClient>> again;
    for (const auto& bytes : repeated)
        again.push_back(std::make_unique<RawClient>(f.io, f.program.at, bytes));
    const auto end = std::chrono::steady_clock::now() + 3s;
    run_until(f.io, [&] { return std::chrono::steady_clock::now() >= end; });
    std::fprintf(stderr, "most runs of an id: %d\n", f.most_runs_of_an_id());
    CHECK(f.most_runs_of_an_id() == 1);
}

void a_write_does_not_run_again_at_the_other_process() {
    RepeatFixture f;
    const auto at_first = f.connect();
    const auto also_at_first = f.connect();
    CHECK(f.answer(*at_first, make_request("pages", kObject)) == 200);
    CHECK(f.answer(*also_at_first, make_request("pages", kObject)) == 200);
    f.start_second();
    f.server.seen.clear();
    const Request left = make_request("lodge", kObject);
    f.leave_while_it_runs(*at_first, left, f.first);
    CHECK(f.answer(*f.connect(), left) == 502);
    CHECK(f.server.seen.size() == 1);

    const Request answered = make_request("lodge", kObject);
    CHECK(f.answer(*f.connect(), answered) == 200);
    CHECK(f.answer(*also_at_first, answered) == 502);
    CHECK(f.server.seen.size() == 2);
}

// The same id at both processes at once, while the server runs it.
void a_write_open_at_one_process_does_not_run_at_the_other() {
    RepeatFixture f;
    const auto at_first = f.connect();
    CHECK(f.answer(*at_first, make_request("pages", kObject)) == 200);
    f.start_second();
    f.server.seen.clear();
    f.server.behaviour = Server::Behaviour::never_respond;
    const Request request = make_request("lodge", kObject, 1500);
    at_first->send(request);
    run_until(f.io, [&] { return f.server.seen.size() == 1; });
    CHECK(f.answer(*f.connect(), request) == 502);
    run_until(f.io, [&] { return at_first->done; });
    CHECK(f.server.seen.size() == 1);
}

// An upgrade's new process, and a restart after a crash, find the ids of the process before.
void a_write_does_not_run_again_after_the_process_ended() {
    RepeatFixture f;
    const Request request = make_request("lodge", kObject);
    CHECK(f.answer(*f.connect(), request) == 200);
    f.program.crash();
    f.start_second();
    CHECK(f.answer(*f.connect(), request) == 502);
    CHECK(f.server.seen.size() == 1);
}

}  // namespace

int main() {
    a_write_that_no_server_received_may_come_again();
    a_read_may_come_again();
    writes_of_clients_that_close_early_do_not_run_again();
    a_write_does_not_run_again_after_its_client_left();
    a_write_does_not_run_again_after_its_answer();
    a_write_does_not_run_again_at_the_other_process();
    a_write_open_at_one_process_does_not_run_at_the_other();
    a_write_does_not_run_again_after_the_process_ended();
    std::puts("repeated requests: all cases passed");
}

// Upgrades of the real program under load: a second process on the same address, the old one told to end or
// killed, the new one killed. Every request is answered exactly once, and no write runs twice.
#include <map>

#include "router_process.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// Clients that never stop: each asks, reads the answer, and asks again, on the same connection for as long as
// it is kept, or each time on a new one.
class Load {
public:
    Load(asio::io_context& io, tcp::endpoint to, int clients) : io_(io), to_(to) {
        for (int i = 0; i < clients; ++i)
            next(std::make_shared<One>(io_, i % 3 == 0));
    }
    void stop() {
        stopping_ = true;
    }

    std::size_t open = 0;
    std::size_t answered = 0;
    std::size_t refused_connections = 0;
    std::size_t unanswered = 0;         // the connection ended under a request that was not its first
    std::size_t turned_back = 0;        // and under its first one
    std::map<std::string, int> lodged;  // answers 'served', by id

private:
    struct One {
        One(asio::io_context& io, bool once) : socket(io), each_new(once) {}
        tcp::socket socket;
        net::beast::flat_buffer buffer;
        Request request;
        Response response;
        bool each_new;
        std::size_t asked = 0;  // on this connection
    };
    void next(const std::shared_ptr<One>& one) {
        if (stopping_)
            return;
        ++open;
        if (one->socket.is_open())
            return ask_on(one);
        one->asked = 0;
        one->buffer.clear();
        one->socket.async_connect(to_, [this, one](const net::error_code& error) {
            if (!error)
                return ask_on(one);
            ++refused_connections;
            over(one, false);
        });
    }
    void ask_on(const std::shared_ptr<One>& one) {
        const bool write = ++asked_ % 5 == 0;
        char object[17];
        std::snprintf(object, sizeof object, "%016zx", asked_ % 400);
        one->request = test::make_request(write ? "lodge" : "pages", object, 3000);
        one->request.prepare_payload();
        one->response = {};
        ++one->asked;
        http::async_write(one->socket, one->request, [](const net::error_code&, std::size_t) {});
        http::async_read(
            one->socket, one->buffer, one->response, [this, one](const net::error_code& error, std::size_t) {
                if (error) {
                    ++(one->asked > 1 ? unanswered : turned_back);
                    return over(one, false);
                }
                ++answered;
                if (one->request.method() == http::verb::put && one->response.result_int() == 200)
                    ++lodged[std::string{one->request["Trace-Id"]}];
                over(one, one->response.keep_alive() && !one->each_new);
            });
    }
    void over(const std::shared_ptr<One>& one, bool keep) {
        --open;
        net::error_code ignored;
        if (!keep)
            one->socket.close(ignored);
        asio::post(io_, [this, one] { next(one); });
    }
    asio::io_context& io_;
    tcp::endpoint to_;
    std::size_t asked_ = 0;
    bool stopping_ = false;
};

// Two processes of one router, as during an upgrade.
struct TwoProcesses {
    TwoProcesses() : program{discovery.address(), server.address(), text_of(first)} {
        run_until(io, [&] { return is_ready(io, first); });
    }
    void start_second() {
        next = program.start(text_of(second));
        run_until(io, [&] { return is_ready(io, second); });
    }
    ~TwoProcesses() {
        CHECK(::kill(next, SIGKILL) == 0);
        CHECK(::waitpid(next, nullptr, 0) == next);
    }
    std::string call(const tcp::endpoint& at, const char* line) {
        return test::send_command(io, at, line);
    }
    // How many servers the process counts as down, with the end of the line.
    std::string down(const tcp::endpoint& at) {
        const std::string dump = call(at, "DUMP");
        return dump.substr(dump.find("hosts_down=") + 11, 2);
    }
    void wait_for_down(const tcp::endpoint& at, const std::string& count) {
        run_until(io, [&] { return down(at) == count; });
    }
    // The file in which the overrides are stored.
    std::filesystem::path overrides_file() const {
        for (const auto& file : std::filesystem::directory_iterator{program.folder()}) {
            if (file.path().extension() == ".bans")
                return file.path();
        }
        return {};
    }
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    tcp::endpoint first = free_endpoint();
    tcp::endpoint second = free_endpoint();
    RouterProcess program;
    pid_t next = -1;
};

void overrides_at_either_process_are_in_force_in_both() {
    TwoProcesses router;
    CHECK(router.call(router.first, "OFFLINE s-nobody").starts_with("NAK no such box"));
    CHECK(router.call(router.first, "ONLINE s-nobody").starts_with("NAK"));
    CHECK(router.call(router.first, "OFFLINE s-a") == "ACK out\n");
    CHECK(router.call(router.first, "OFFLINE s-a") == "ACK out\n");
    Client client{router.io, router.program.at};
    client.send(make_request("pages", "00000000000000aa"));
    run_until(router.io, [&] { return client.done; });
    CHECK(client.status() == 503 && router.server.seen.empty() && router.down(router.first) == "1\n");
    // In force in the new process from its start, and readmitted there for the old one too.
    router.start_second();
    CHECK(router.down(router.second) == "1\n");
    CHECK(router.call(router.second, "ONLINE s-a") == "ACK in use\n");
    router.wait_for_down(router.first, "0\n");
    // And the other way round.
    CHECK(router.call(router.first, "OFFLINE s-p") == "ACK out\n");
    router.wait_for_down(router.second, "1\n");
    CHECK(router.call(router.second, "ONLINE s-p") == "ACK in use\n");
    router.wait_for_down(router.first, "0\n");
}

void a_file_that_cant_be_used_readmits_no_server() {
    TwoProcesses router;
    CHECK(router.call(router.first, "OFFLINE s-a") == "ACK out\n");
    router.start_second();
    CHECK(router.call(router.second, "ONLINE s-a") == "ACK in use\n");
    router.wait_for_down(router.first, "0\n");
    const auto file = router.overrides_file();
    CHECK(!file.empty());
    // One of another version is left alone, and the answers say what is true.
    std::ofstream{file} << "silverrail-bans 2\nout s-a\nend 1\n";
    CHECK(router.call(router.second, "OFFLINE s-a")
              .starts_with("NAK out in this process, but not kept for another: "));
    CHECK(router.down(router.second) == "1\n");
    CHECK(router.call(router.second, "ONLINE s-a").starts_with("NAK nothing was changed: "));
    CHECK(router.down(router.second) == "1\n");
    // A damaged one is logged, and the next call writes it anew with what is excluded here.
    std::ofstream{file} << "silverrail-bans 1\nout s-";
    run_until(router.io, [&] { return router.program.logged("damaged; what is out here stays out"); });
    CHECK(router.down(router.second) == "1\n");
    CHECK(router.call(router.second, "OFFLINE s-p") == "ACK out\n" && router.down(router.second) == "2\n");
    router.wait_for_down(router.first, "2\n");
    // A folder in the place of the new file: nothing can be written.
    std::filesystem::create_directory(file.string() + ".new");
    CHECK(router.call(router.second, "ONLINE s-p").starts_with("NAK nothing was changed: "));
    CHECK(router.down(router.second) == "2\n");
    std::filesystem::remove(file.string() + ".new");
    CHECK(router.call(router.second, "ONLINE s-p") == "ACK in use\n");
    CHECK(router.call(router.second, "ONLINE s-a") == "ACK in use\n");
    Client client{router.io, router.program.at};
    client.send(make_request("pages", "00000000000000aa"));
    run_until(router.io, [&] { return client.done; });
    router.wait_for_down(router.first, "0\n");
    router.wait_for_down(router.second, "0\n");
}

// A further process of the program, once it says that it takes clients.
struct Next {
    Next(asio::io_context& io, RouterProcess& program)
        : control(free_endpoint()), pid(program.start(text_of(control))) {
        run_until(io, [&] { return is_ready(io, control); });
    }
    tcp::endpoint control;
    pid_t pid;
};

void upgrades_under_load_lose_no_request_and_repeat_no_write() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    tcp::endpoint control = free_endpoint();
    RouterProcess program{discovery.address(), server.address(), text_of(control)};
    pid_t serving = program.pid();
    run_until(io, [&] { return is_ready(io, control); });
    Load load{io, program.at, 12};
    const auto some_answers = [&] {
        const std::size_t before = load.answered;
        run_until(io, [&] { return load.answered > before + 60; });
    };
    some_answers();
    for (int upgrade = 0; upgrade < 4; ++upgrade) {
        const Next next{io, program};
        some_answers();
        CHECK(is_ready(io, control));  // both serve
        CHECK(::kill(serving, SIGTERM) == 0);
        run_until(io, [&] { return has_ended(serving, false); });
        some_answers();
        serving = next.pid;
        control = next.control;
    }
    CHECK(load.turned_back == 0 && load.refused_connections == 0 && load.unanswered <= 2);

    // The new one killed as soon as it serves: what was on its way there may be lost, the old one serves on.
    const Next doomed{io, program};
    CHECK(::kill(doomed.pid, SIGKILL) == 0);
    run_until(io, [&] { return has_ended(doomed.pid, true); });
    some_answers();
    const std::size_t lost = load.turned_back + load.unanswered + load.refused_connections;
    CHECK(is_ready(io, control));
    run_until(io, [&] { return program.logged("handover 1 processes of this router, 2 before"); });

    // The old one killed: the new one is whole.
    const Next last{io, program};
    CHECK(::kill(serving, SIGKILL) == 0);
    run_until(io, [&] { return has_ended(serving, true); });
    some_answers();
    CHECK(is_ready(io, last.control));
    // That death cost no more than what the dead one held.
    CHECK(load.turned_back + load.unanswered + load.refused_connections <= lost + 12);

    load.stop();
    run_until(io, [&] { return load.open == 0; });
    // Every write that was answered 'served' ran exactly once, and none ran twice.
    std::map<std::string, int> ran;
    for (const auto& seen : server.seen)
        if (seen.request.method() == http::verb::put)
            ++ran[std::string{seen.request["Call-Id"]}];
    for (const auto& [id, times] : ran)
        CHECK(times == 1);
    for (const auto& [id, times] : load.lodged)
        CHECK(times == 1 && ran[id] == 1);
    CHECK(load.lodged.size() > 50);
    std::printf("upgrades: %zu answers, %zu writes, %zu turned back, %zu under a later request\n",
                load.answered, load.lodged.size(), load.turned_back, load.unanswered);
    CHECK(::kill(last.pid, SIGTERM) == 0);
    run_until(io, [&] { return has_ended(last.pid, false); });
}

}  // namespace

int main() {
    overrides_at_either_process_are_in_force_in_both();
    a_file_that_cant_be_used_readmits_no_server();
    upgrades_under_load_lose_no_request_and_repeat_no_write();
    std::puts("upgrade: the new process takes over and nothing is lost");
}

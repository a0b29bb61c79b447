// Upgrades of the real program under load: a second process on the same address, the old one told to end or
// killed, the new one killed. Every request is answered exactly once, and no write runs twice.
#include <map>

#include "members/give_way.h"
#include "members/shares.h"
#include "router_process.h"
#include "store/presence.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

void shares_by_table() {
    using members::Whole;
    for (const std::size_t sockets : {128U, 192U, 256U, 384U, 512U, 1024U})
        for (const bool control : {false, true}) {
            const Whole whole{.sockets = sockets, .memory_bytes = 32U << 20, .control = control};
            for (const std::size_t processes : {1U, 2U}) {
                const auto s = members::shares_of(whole, processes);
                const std::size_t each =
                    members::kFixed + s.clients + s.servers + (control ? s.callers + 1 : 0);
                // The sum over both stays under the limit of the one router.
                CHECK(each * processes <= sockets);
                CHECK(s.clients >= 8 && s.servers >= 8 && (s.callers > 0) == control);
                CHECK(s.copies_bytes * processes <= whole.memory_bytes / 8);
            }
            // Alone, all that the platform's clients hold at most finds room, at the usual limits.
            if (sockets >= 256)
                CHECK(members::shares_of(whole, 1).clients >= sockets / 3 + 24);
        }
}

void who_gives_way_by_table() {
    using members::GivesWay;
    using Doing = members::Standing::Doing;
    const std::optional<GivesWay> never;
    struct Row {
        members::Standing standing;
        std::optional<GivesWay> gives;
    };
    const Row rows[] = {
        {{Doing::answering, false, false, 60s}, never},  // a call in flight
        {{Doing::answering, true, true, 60s}, never},
        {{Doing::lingering, true, false, 0s}, GivesWay::lingering},  // it has had its last answer
        {{Doing::waiting, false, false, 1s}, GivesWay::silent},      // never asked
        {{Doing::waiting, false, false, 999ms}, GivesWay::newcomer},
        {{Doing::waiting, false, false, 0s}, GivesWay::newcomer},
        {{Doing::waiting, false, true, 0s}, never},  // a slow writer that moves
        {{Doing::waiting, false, true, 1s}, never},
        {{Doing::waiting, false, true, 1001ms}, GivesWay::stalled},
        {{Doing::waiting, true, true, 1s}, never},
        {{Doing::waiting, true, true, 2s}, GivesWay::stalled},
        {{Doing::waiting, true, false, 0s}, GivesWay::idle},  // asked once and stayed
        {{Doing::waiting, true, false, 60s}, GivesWay::idle},
    };
    for (const Row& row : rows)
        CHECK(members::gives_way(row.standing) == row.gives);
    // Never the one that asks: whoever does not goes before it, and newcomers last.
    CHECK(GivesWay::lingering < GivesWay::silent && GivesWay::silent < GivesWay::stalled);
    CHECK(GivesWay::stalled < GivesWay::idle && GivesWay::idle < GivesWay::newcomer);
}

void presence_is_told_by_locks() {
    const auto folder =
        std::filesystem::temp_directory_path() / ("silverrail-locks-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    const std::string file = folder / "presence";
    {
        store::Presence one{file};
        CHECK(one.processes() == 1);
        {
            store::Presence two{file};
            CHECK(one.processes() == 2 && two.processes() == 2);
        }
        CHECK(one.processes() == 1);
        // One that dies of kill -9 leaves no lock behind.
        int ready[2];
        CHECK(::pipe(ready) == 0);
        const pid_t pid = ::fork();
        if (pid == 0) {
            const store::Presence child{file};
            char byte = 1;
            if (::write(ready[1], &byte, 1) != 1)
                ::_exit(1);
            while (true)
                ::pause();
        }
        char byte = 0;
        CHECK(::read(ready[0], &byte, 1) == 1 && one.processes() == 2);
        CHECK(::kill(pid, SIGKILL) == 0 && ::waitpid(pid, nullptr, 0) == pid);
        CHECK(one.processes() == 1);
    }
    bool refused = false;
    try {
        store::Presence nowhere{folder / "no" / "such"};
    } catch (const std::system_error& e) {
        refused = std::string{e.what()}.find("no/such") != std::string::npos;
    }
    CHECK(refused);
    std::filesystem::remove_all(folder);
}

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
        one->request = test::ask(write ? "lodge" : "pages", object, 3000);
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

bool says_yes(asio::io_context& io, const tcp::endpoint& control) {
    asio::io_context own;
    tcp::socket probe{own};
    net::error_code error;
    probe.connect(control, error);
    if (error)
        return false;
    probe.close();
    return call(io, control, "HEALTH").starts_with("ACK");
}

void bans_as_text() {
    using members::Bans;
    Bans bans;
    for (const char* id : {"s-1", "s-2"})
        CHECK(bans.add(silverrail::routing::ServerId{id}) && bans.add(silverrail::routing::ServerId{id}));
    const std::string text = bans.text();
    CHECK(Bans::read(text).bans == bans && Bans::read(Bans{}.text()).bans == Bans{});
    CHECK(Bans::read(text).trouble == Bans::Trouble::none);
    // Cut at any byte, or with any byte put out of place, it is not taken for another set of bans.
    for (std::size_t i = 0; i < text.size(); ++i) {
        CHECK(Bans::read(text.substr(0, i)).trouble != Bans::Trouble::none);
        std::string other = text;
        other[i] = '\n';
        CHECK(other == text || Bans::read(other).trouble != Bans::Trouble::none);
    }
    CHECK(Bans::read("silverrail-bans 2\nout s-1\nend 1\n").trouble == Bans::Trouble::other_version);
    CHECK(Bans::read(text + "out s-3\n").trouble == Bans::Trouble::damaged);
    for (const char* id : {"", "a b", "a\n", "\x80"})
        CHECK(!bans.add(silverrail::routing::ServerId{id}));
    for (std::size_t i = 0; i < 2 * Bans::kMost; ++i)
        bans.add(silverrail::routing::ServerId{"x-" + std::to_string(i)});
    CHECK(bans.ids().size() == Bans::kMost);
}

// A server is taken out at either process of an upgrade, and both heed it; what the file can't keep is said.
void bans_over_an_upgrade() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    const tcp::endpoint first = free_endpoint();
    RouterProcess program{discovery.address(), server.address(), text_of(first)};
    run_until(io, [&] { return says_yes(io, first); });
    const auto down = [&](const tcp::endpoint& at) {
        const std::string dump = call(io, at, "DUMP");
        return dump.substr(dump.find("hosts_down=") + 11, 2);
    };
    CHECK(call(io, first, "OFFLINE s-nobody").starts_with("NAK no such box"));
    CHECK(call(io, first, "ONLINE s-nobody").starts_with("NAK"));
    CHECK(call(io, first, "OFFLINE s-a") == "ACK out\n" && call(io, first, "OFFLINE s-a") == "ACK out\n");
    Client client{io, program.at};
    client.send(ask("pages", "00000000000000aa"));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 503 && server.seen.empty() && down(first) == "1\n");
    // The new process has it out from its start, and its call back reaches the old one.
    const tcp::endpoint second = free_endpoint();
    const pid_t next = program.start(text_of(second));
    run_until(io, [&] { return says_yes(io, second); });
    CHECK(down(second) == "1\n" && call(io, second, "ONLINE s-a") == "ACK in use\n");
    run_until(io, [&] { return down(first) == "0\n"; });
    // And the other way round: out at the old one, heeded by the new.
    CHECK(call(io, first, "OFFLINE s-p") == "ACK out\n");
    run_until(io, [&] { return down(second) == "1\n"; });
    CHECK(call(io, second, "ONLINE s-p") == "ACK in use\n");
    run_until(io, [&] { return down(first) == "0\n"; });
    // A file of another version is left alone, and the answers say what is true.
    std::filesystem::path file;
    for (const auto& f : std::filesystem::directory_iterator{program.folder()})
        if (f.path().extension() == ".bans")
            file = f.path();
    CHECK(!file.empty());
    std::ofstream{file} << "silverrail-bans 2\nout s-a\nend 1\n";
    CHECK(call(io, second, "OFFLINE s-a").starts_with("NAK out in this process, but not kept for another: "));
    CHECK(down(second) == "1\n");
    CHECK(call(io, second, "ONLINE s-a").starts_with("NAK nothing was changed: ") && down(second) == "1\n");
    // A damaged one lifts no ban, is said, and the next call writes it anew with what is out here.
    std::ofstream{file} << "silverrail-bans 1\nout s-";
    run_until(io, [&] { return program.logged("damaged; what is out here stays out"); });
    CHECK(down(second) == "1\n" && call(io, second, "OFFLINE s-p") == "ACK out\n" && down(second) == "2\n");
    run_until(io, [&] { return down(first) == "2\n"; });
    // No place to write to: a folder where the new file would go.
    std::filesystem::create_directory(file.string() + ".new");
    CHECK(call(io, second, "ONLINE s-p").starts_with("NAK nothing was changed: ") && down(second) == "2\n");
    std::filesystem::remove(file.string() + ".new");
    CHECK(call(io, second, "ONLINE s-p") == "ACK in use\n" &&
          call(io, second, "ONLINE s-a") == "ACK in use\n");
    client.send(ask("pages", "00000000000000aa"));
    run_until(io, [&] { return client.done; });
    run_until(io, [&] { return down(first) == "0\n" && down(second) == "0\n"; });
    CHECK(::kill(next, SIGKILL) == 0);
    CHECK(::waitpid(next, nullptr, 0) == next);
}

bool has_ended(pid_t pid, bool killed) {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid)
        return false;
    CHECK(killed ? WIFSIGNALED(status) : WIFEXITED(status) && WEXITSTATUS(status) == 0);
    return true;
}

// A further process of the program, once it says that it takes clients.
struct Next {
    Next(asio::io_context& io, RouterProcess& program)
        : control(free_endpoint()), pid(program.start(text_of(control))) {
        run_until(io, [&] { return says_yes(io, control); });
    }
    tcp::endpoint control;
    pid_t pid;
};

void upgrades_under_load() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    tcp::endpoint control = free_endpoint();
    RouterProcess program{discovery.address(), server.address(), text_of(control)};
    pid_t serving = program.pid();
    run_until(io, [&] { return says_yes(io, control); });
    Load load{io, program.at, 12};
    const auto some_answers = [&] {
        const std::size_t before = load.answered;
        run_until(io, [&] { return load.answered > before + 60; });
    };
    some_answers();
    for (int upgrade = 0; upgrade < 4; ++upgrade) {
        const Next next{io, program};
        some_answers();
        CHECK(says_yes(io, control));  // both serve
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
    CHECK(says_yes(io, control));
    run_until(io, [&] { return program.logged("overlap 1 processes of this router, 2 before"); });

    // The old one killed: the new one is whole.
    const Next last{io, program};
    CHECK(::kill(serving, SIGKILL) == 0);
    run_until(io, [&] { return has_ended(serving, true); });
    some_answers();
    CHECK(says_yes(io, last.control));
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
    shares_by_table();
    who_gives_way_by_table();
    presence_is_told_by_locks();
    bans_as_text();
    bans_over_an_upgrade();
    upgrades_under_load();
    std::puts("upgrade: the new process takes over and nothing is lost");
}

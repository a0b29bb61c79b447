// The program itself: started with a configuration file, followed through its phases, ended by SIGTERM.
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "stand.h"

using namespace silverrail;
using namespace silverrail::stand;
namespace asio = net::asio;
namespace http = net::http;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

// A bulletin that says what it is told to, and can be cut off.
class Bulletin {
public:
    explicit Bulletin(asio::io_context& io) : acceptor_(io, loopback()) { accept(); }
    std::string address() const { return text_of(acceptor_.local_endpoint()); }
    void say(const std::string& text) { asio::write(*socket_, asio::buffer(text)); }
    void cut() { socket_->close(); }
    std::vector<std::string> resumed_after;

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error) return;
            socket_.emplace(std::move(socket));
            request_ = {};
            buffer_.clear();
            http::async_read(*socket_, buffer_, request_, [this](const net::error_code& e, std::size_t) {
                if (e) return accept();
                CHECK(request_.target() == "/bulletins");
                const auto last = request_["Last-Event-ID"];
                say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
                resumed_after.emplace_back(last.data(), last.size());
                accept();
            });
        });
    }
    tcp::acceptor acceptor_;
    std::optional<tcp::socket> socket_;
    net::beast::flat_buffer buffer_;
    Request request_;
};

std::string box_json(const std::string& id, const std::string& address, const char* kind, const char* state) {
    return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":")" +
           (std::string_view{kind} == "small-box" ? "edge-1" : "north") + R"(","kind":")" + kind +
           R"(","cell":1,"state":")" + state + R"(","weight":10,"started_ms":0})";
}

// Where it listens: a free port, let go right before.
tcp::endpoint free_endpoint() {
    asio::io_context io;
    return tcp::acceptor{io, loopback()}.local_endpoint();
}

class Program {
public:
    Program(const std::string& bulletin, const std::string& box) : at(free_endpoint()), box_(box) {
        folder_ = std::filesystem::temp_directory_path() / ("silverrail-run-" + std::to_string(::getpid()));
        std::filesystem::create_directory(folder_);
        file_ = folder_ / "config.json";
        configure(bulletin, "1");
        settings(R"({"trace":{"folder":")" + folder_.string() + R"(","flight_mb":2}})");
        pid_ = ::fork();
        if (pid_ == 0) {
            ::setenv("EDGE_CONFIG", file_.c_str(), 1);
            ::unsetenv("EDGE_LISTEN");
            ::setenv("SILVERRAIL_SETTINGS", (folder_ / "settings.json").c_str(), 1);
            const int log = ::open((folder_ / "log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(log, STDERR_FILENO);
            ::execl(SILVERRAIL_PROGRAM, SILVERRAIL_PROGRAM, nullptr);
            ::_exit(127);
        }
    }
    void configure(const std::string& bulletin, const std::string& seed) {
        std::ofstream{file_}
            << R"({"name":"n0","listen":")" << text_of(at) << R"(","seed":")" << seed << R"(","bulletin":")"
            << bulletin
            << R"(","limits":{"sockets":256,"memory_mb":64},"flow_bytes_per_s":1e6,"link_bytes_per_s":4e6)"
            << R"(,"known":{"no":1,"items":[{"no":1,"roster":{"full":true,"servers":[)"
            << box_json("s-a", box_, "small-box", "active") << ","
            << box_json("s-p", "127.0.0.1:9", "parent", "active") << ","
            << box_json("s-o", "127.0.0.1:9", "origin", "active") << R"(]}}]},"settings":{
            "allowed":{"cancel":true,"connect-timeout":400000000,"conn-idle":15000000000,"retry-after":true,
            "max-retry-after":500000000,"try-limit":6},"classes":[{"name":"pages","aim":250000000,
            "give-up":5000000000,"effect":"pure"}],"zone":"edge-1","dcs":["north","edge-1"],"weights":"rough",
            "kinds":["small-box","parent","origin"],"family-info":{"second-tier-kind":1,"origin-kind":2},
            "invariants":{}}})";
    }
    void settings(const std::string& json) { std::ofstream{folder_ / "settings.json"} << json; }
    // Exit code of `silverrail WORDS`, with this program's files.
    int run(const std::string& words) {
        const std::string line = "SILVERRAIL_SETTINGS='" + (folder_ / "settings.json").string() +
                                 "' EDGE_CONFIG='" + file_.string() + "' " SILVERRAIL_PROGRAM " " + words +
                                 " >/dev/null 2>&1";
        const int status = std::system(line.c_str());
        CHECK(WIFEXITED(status));
        return WEXITSTATUS(status);
    }
    void dump() { CHECK(::kill(pid_, SIGUSR2) == 0); }
    std::string dumped() const {
        for (const auto& f : std::filesystem::directory_iterator{folder_})
            if (f.path().extension() == ".slt") return f.path().string();
        return {};
    }
    void spoil_configuration() { std::ofstream{file_} << R"({"listen":"127.0.0.1:1","bulletin":)"; }
    bool logged(const std::string& text) {
        std::ostringstream all;
        all << std::ifstream{folder_ / "log"}.rdbuf();
        return all.str().find(text) != std::string::npos;
    }
    void hang_up() { CHECK(::kill(pid_, SIGHUP) == 0); }
    ~Program() {
        if (pid_ > 0) ::kill(pid_, SIGKILL);
        std::filesystem::remove_all(folder_);
    }
    void end() { CHECK(::kill(pid_, SIGTERM) == 0); }
    bool ended() {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        }
        return pid_ < 0;
    }
    bool listens() {
        asio::io_context io;
        tcp::socket socket{io};
        net::error_code error;
        socket.connect(at, error);
        return !error;
    }
    tcp::endpoint at;

private:
    std::string box_;
    std::filesystem::path folder_;
    std::filesystem::path file_;
    pid_t pid_ = -1;
};

unsigned get(asio::io_context& io, Client& client, const std::string& target, std::string* body = nullptr) {
    client.send(Request{http::verb::get, target, 11});
    run_until(io, [&] { return client.done; });
    CHECK(!client.broken);
    if (body) *body = client.response.body();
    return client.status();
}

}  // namespace

int main() {
    asio::io_context io;
    Bulletin bulletin{io};
    Box box{io};
    Box second{io};
    Program program{bulletin.address(), box.address()};
    run_until(io, [&] { return program.listens(); });
    Client client{io, program.at};
    CHECK(get(io, client, "/alive") == 200);

    // The list of the start serves before the bulletin has said anything; then it resumes after that.
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && box.seen.size() == 1);
    run_until(io, [&] { return bulletin.resumed_after.size() == 1; });
    CHECK(bulletin.resumed_after[0] == "1");
    const auto purges = [&](const char* wanted) {
        std::string counters;
        run_until(io, [&] {
            CHECK(get(io, client, "/counters", &counters) == 200);
            return counters.find(wanted) != std::string::npos;
        });
    };
    // What it passed on answers again by itself once the bulletin is known to be live, a box's silence or
    // not.
    const auto own = [&] {
        std::string counters;
        CHECK(get(io, client, "/counters", &counters) == 200);
        return std::stoi(counters.substr(counters.find("\nown_fresh ") + 11));
    };
    const auto ask_until_own = [&] {
        const int before = own();
        run_until(io, [&] {
            bulletin.say(": here\n\n");
            client.send(ask("pages", kObject));
            run_until(io, [&] { return client.done; });
            CHECK(client.status() == 200 && client.response.body() == box.response.body());
            return own() > before;
        });
    };
    ask_until_own();
    bulletin.say("id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    purges("\npurges 1\n");
    // Cut off, it connects anew and says what it had last; what it is told again is not taken twice.
    bulletin.cut();
    run_until(io, [&] { return bulletin.resumed_after.size() == 2; });
    CHECK(bulletin.resumed_after[1] == "2");
    // Right after a break a purge may have been missed: the box is asked.
    const std::size_t asked_before = box.seen.size();
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && box.seen.size() == asked_before + 1);
    bulletin.say(
        "id: 2\ndata: {\"no\":2,\"recall\":{\"lot\":3,\"issued\":1}}\n\n"
        "id: 3\ndata: {\"no\":3,\"roster\":{\"version\":2,\"full\":false,\"servers\":[" +
        box_json("s-a", box.address(), "small-box", "left") + "," +
        box_json("s-b", second.address(), "small-box", "active") + "]}}\n\n");
    run_until(io, [&] { return box.closed == 1; });  // the old box's connection is dropped
    purges("\npurges 1\n");
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && second.seen.size() == 1);
    // Silence without an end: no comment comes, so the connection is taken for dead.
    run_until(io, [&] { return bulletin.resumed_after.size() == 3; });
    CHECK(bulletin.resumed_after[2] == "3");

    // SIGHUP: a bad file changes nothing; a good one moves the bulletin, and its numbers go on. What is open,
    // and the client's connection, are not touched.
    program.spoil_configuration();
    program.hang_up();
    run_until(io, [&] { return program.logged("reload-failed"); });
    second.act = Box::Act::stay_silent;
    Client open{io, program.at};
    open.send(ask("pages", "00000000000000bb", 4000));
    run_until(io, [&] { return second.seen.size() == 2; });
    Bulletin moved{io};
    program.configure(moved.address(), "2");
    program.hang_up();
    run_until(io, [&] { return moved.resumed_after.size() == 1; });
    CHECK(moved.resumed_after[0] == "3" && !open.broken);
    run_until(io, [&] { return program.logged("reload seed has changed: not applied"); });
    moved.say("id: 4\ndata: {\"no\":4,\"recall\":{\"lot\":3,\"issued\":1}}\n\n");
    purges("\npurges 2\n");
    CHECK(get(io, client, "/alive") == 200);
    second.act = Box::Act::answer;
    run_until(io, [&] { return open.done; });  // its one answer, from another attempt or a refusal
    CHECK(!open.broken && open.status() >= 200);
    // And again, back to the first.
    const std::size_t before = bulletin.resumed_after.size();
    program.configure(bulletin.address(), "1");
    program.hang_up();
    run_until(io, [&] { return bulletin.resumed_after.size() > before; });
    CHECK(bulletin.resumed_after.back() == "4");

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
    second.act = Box::Act::stay_silent;
    Client slow{io, program.at};
    const std::size_t seen = second.seen.size();
    slow.send(ask("pages", kObject, 1800));
    run_until(io, [&] { return second.seen.size() > seen; });
    program.end();
    std::string phase;
    run_until(io, [&] { return get(io, client, "/alive", &phase) == 503; });
    CHECK(phase == "draining");
    second.act = Box::Act::answer;
    Client late{io, program.at};
    late.send(ask("pages", "00000000000000aa"));
    run_until(io, [&] { return late.done; });
    CHECK(late.status() == 200 && !slow.done);
    run_until(io, [&] { return slow.done; });
    CHECK(!slow.broken && slow.status() >= 200);  // its one answer, from another attempt or a refusal
    run_until(io, [&] { return program.ended(); });
    std::puts("program: it starts, follows the bulletin and ends as it should");
}

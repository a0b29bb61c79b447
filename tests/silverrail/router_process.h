// The program itself as a process of its own, with the files it reads, and discovery it follows.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/config.h"
#include "lab/faults/control.h"
#include "test_fixture.h"

namespace silverrail::test {

namespace asio = net::asio;
namespace http = net::http;

// A discovery that says what it is told to, and can be cut off.
class DiscoveryServer {
public:
    explicit DiscoveryServer(asio::io_context& io) : acceptor_(io, loopback()) {
        accept();
    }
    std::string address() const {
        return text_of(acceptor_.local_endpoint());
    }
    void say(const std::string& text) {
        asio::write(*socket_, asio::buffer(text));
    }
    void cut() {
        socket_->close();
    }
    std::vector<std::string> resumed_after;
    std::chrono::milliseconds answer_after{};  // from the request to the answer's head

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            socket_.emplace(std::move(socket));
            request_ = {};
            buffer_.clear();
            http::async_read(*socket_, buffer_, request_, [this](const net::error_code& e, std::size_t) {
                if (e)
                    return accept();
                CHECK(request_.target() == "/bulletins");
                if (answer_after == std::chrono::milliseconds{})
                    return answer();
                wait_.expires_after(answer_after);
                wait_.async_wait([this](const net::error_code&) { answer_unless_left(); });
            });
        });
    }
    void answer() {
        const auto last = request_["Last-Event-ID"];
        say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
        resumed_after.emplace_back(last.data(), last.size());
        accept();
    }
    void answer_unless_left() {
        char byte = 0;
        if (::recv(socket_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            return accept();
        answer();
    }
    tcp::acceptor acceptor_;
    std::optional<tcp::socket> socket_;
    asio::steady_timer wait_{acceptor_.get_executor()};
    net::beast::flat_buffer buffer_;
    Request request_;
};

inline std::string server_json(const std::string& id, const std::string& address, const char* kind,
                               const char* state) {
    return R"({"id":")" + id + R"(","addr":")" + address + R"(","zone":")" +
           (std::string_view{kind} == "small-box" ? "edge-1" : "north") + R"(","kind":")" + kind +
           R"(","cell":1,"state":")" + state + R"(","weight":10,"started_ms":0})";
}

// Where it listens: a free port, let go right before.
inline tcp::endpoint free_endpoint() {
    asio::io_context io;
    return tcp::acceptor{io, loopback()}.local_endpoint();
}

// Whether the process with this control address is ready.
inline bool is_ready(asio::io_context& io, const tcp::endpoint& control) {
    asio::io_context own;
    tcp::socket probe{own};
    net::error_code error;
    probe.connect(control, error);
    if (error)
        return false;
    probe.close();
    return send_command(io, control, "HEALTH").starts_with("ACK");
}

// Whether the process has ended, in good order or `killed`.
inline bool has_ended(pid_t pid, bool killed) {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid)
        return false;
    CHECK(killed ? WIFSIGNALED(status) : WIFEXITED(status) && WEXITSTATUS(status) == 0);
    return true;
}

struct ProcessOptions {
    int sockets = 256;
    int memory_mb = 64;
    std::string operator_settings{};  // JSON; empty: only the trace is on
};

class RouterProcess {
public:
    RouterProcess(const std::string& discovery, const std::string& server)
        : RouterProcess(discovery, server, "") {}
    // With `faults` its system calls fail by that file's word.
    RouterProcess(const std::string& discovery, const std::string& server, const std::string& control,
                  const lab::FaultFile* faults = nullptr, ProcessOptions options = {})
        : at(free_endpoint()), server_(server), faults_(faults), options_(std::move(options)) {
        folder_ = std::filesystem::temp_directory_path() / ("silverrail-run-" + std::to_string(::getpid()));
        std::filesystem::create_directory(folder_);
        file_ = folder_ / "config.json";
        configure(discovery, "1");
        settings(options_.operator_settings.empty()
                     ? R"({"trace":{"folder":")" + folder_.string() + R"(","flight_mb":2}})"
                     : options_.operator_settings);
        pid_ = start(control);
    }
    // A process of this router: the same files and clients' address, and a second address if one is given.
    pid_t start(const std::string& control = {}) {
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves nobody behind
            ::setenv("EDGE_CONFIG", file_.c_str(), 1);
            ::setenv("TMPDIR", folder_.c_str(), 1);
            ::setenv("EDGE_CONTROL", control.c_str(), 1);
            ::unsetenv("EDGE_LISTEN");
            ::setenv("SILVERRAIL_SETTINGS", (folder_ / "settings.json").c_str(), 1);
#ifdef SILVERRAIL_FAULT_LIBRARY
            if (faults_)
                faults_->set_environment(SILVERRAIL_FAULT_LIBRARY, 1);
#endif
            const int log = ::open((folder_ / "log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            ::dup2(log, STDERR_FILENO);
            ::execl(SILVERRAIL_PROGRAM, SILVERRAIL_PROGRAM, nullptr);
            ::_exit(127);
        }
        return pid;
    }
    void configure(const std::string& discovery, const std::string& seed) {
        std::ofstream{file_} << R"({"name":"n0","listen":")" << text_of(at) << R"(","seed":")" << seed
                             << R"(","bulletin":")" << discovery << R"(","limits":{"sockets":)"
                             << options_.sockets << R"(,"memory_mb":)" << options_.memory_mb
                             << R"(},"flow_bytes_per_s":1e6,"link_bytes_per_s":4e6)"
                             << R"(,"known":{"no":1,"items":[{"no":1,"roster":{"full":true,"servers":[)"
                             << server_json("s-a", server_, "small-box", "active") << ","
                             << server_json("s-p", "127.0.0.1:9", "parent", "active") << ","
                             << server_json("s-o", "127.0.0.1:9", "origin", "active") << R"(]}}]},"settings":{
            "allowed":{"cancel":true,"connect-timeout":400000000,"conn-idle":15000000000,"retry-after":true,
            "max-retry-after":500000000,"try-limit":6},"classes":[{"name":"pages","aim":250000000,
            "give-up":5000000000,"effect":"pure"},
            {"name":"lodge","aim":700000000,"give-up":5000000000,"effect":"side_effect"}],"zone":"edge-1","dcs":["north","edge-1"],"weights":"rough",
            "kinds":["small-box","parent","origin"],"family-info":{"second-tier-kind":1,"origin-kind":2,
            "uncached":[false,true],"heed-within":500000000,"cleared-within":6000000000},
            "invariants":{}}})";
    }
    void settings(const std::string& json) {
        std::ofstream{folder_ / "settings.json"} << json;
    }
    // Exit code of `silverrail WORDS`, with this program's files.
    int run(const std::string& words) {
        const std::string line = "SILVERRAIL_SETTINGS='" + (folder_ / "settings.json").string() +
                                 "' EDGE_CONFIG='" + file_.string() + "' " SILVERRAIL_PROGRAM " " + words +
                                 " >/dev/null 2>&1";
        const int status = std::system(line.c_str());
        CHECK(WIFEXITED(status));
        return WEXITSTATUS(status);
    }
    void dump() {
        CHECK(::kill(pid_, SIGUSR2) == 0);
    }
    std::string dumped() const {
        for (const auto& f : std::filesystem::directory_iterator{folder_})
            if (f.path().extension() == ".slt")
                return f.path().string();
        return {};
    }
    void spoil_configuration() {
        std::ofstream{file_} << R"({"listen":"127.0.0.1:1","bulletin":)";
    }
    bool logged(const std::string& text) {
        std::ostringstream all;
        all << std::ifstream{folder_ / "log"}.rdbuf();
        return all.str().find(text) != std::string::npos;
    }
    void hang_up() {
        CHECK(::kill(pid_, SIGHUP) == 0);
    }
    ~RouterProcess() {
        if (pid_ > 0)
            ::kill(pid_, SIGKILL);
        std::filesystem::remove_all(folder_);
    }
    void end() {
        CHECK(::kill(pid_, SIGTERM) == 0);
    }
    void crash() {
        CHECK(::kill(pid_, SIGKILL) == 0 && ::waitpid(pid_, nullptr, 0) == pid_);
        pid_ = -1;
    }
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
    pid_t pid() const {
        return pid_;
    }
    const std::filesystem::path& folder() const {
        return folder_;
    }
    tcp::endpoint at;

private:
    std::string server_;
    const lab::FaultFile* faults_;
    ProcessOptions options_;
    std::filesystem::path folder_;
    std::filesystem::path file_;
    pid_t pid_ = -1;
};

}  // namespace silverrail::test

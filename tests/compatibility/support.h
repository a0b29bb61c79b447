// Helpers for the compatibility tests: the real program as a process, stand-in servers, a discovery stream
// and clients, over loopback sockets. Nothing of the program's own code is included, so that a name changed
// there changes nothing here. Every process that is started is ended by its process id.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/json.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../silverrail/check.h"

namespace compatibility {

using namespace std::chrono_literals;

constexpr auto kLongestWait = 20s;  // ends a test that has gone wrong; proves nothing

// CHECK, with a text that is printed on failure.
inline void check_that(bool holds, const std::string& what) {
    if (!holds)
        std::fprintf(stderr, "not so: %s\n", what.c_str());
    CHECK(holds);
}

inline bool wait_until(const std::function<bool()>& condition) {
    const auto bound = std::chrono::steady_clock::now() + kLongestWait;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > bound)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

inline bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

// ---- files and JSON

inline std::string read_file(const std::filesystem::path& path) {
    std::ostringstream text;
    text << std::ifstream{path, std::ios::binary}.rdbuf();
    return text.str();
}

inline void write_file(const std::filesystem::path& path, const std::string& text) {
    std::ofstream{path, std::ios::binary} << text;
}

inline Json::Value parse_json(const std::string& text) {
    Json::Value json;
    std::istringstream input{text};
    std::string errors;
    check_that(Json::parseFromStream(Json::CharReaderBuilder{}, input, &json, &errors), errors);
    return json;
}

inline std::string to_text(const Json::Value& json) {
    return Json::writeString(Json::StreamWriterBuilder{}, json);
}

// The value at a path as the program's messages write it: keys and indices with dots between them.
inline Json::Value& value_at(Json::Value& root, const std::string& path) {
    Json::Value* value = &root;
    std::istringstream parts{path};
    for (std::string part; std::getline(parts, part, '.');) {
        if (value->isArray())
            value = &(*value)[static_cast<Json::ArrayIndex>(std::stoi(part))];
        else
            value = &(*value)[part];
    }
    return *value;
}

class TemporaryFolder {
public:
    TemporaryFolder() {
        std::string name =
            (std::filesystem::temp_directory_path() / "silverrail-compatibility-XXXXXX").string();
        CHECK(::mkdtemp(name.data()) != nullptr);
        path_ = name;
    }
    ~TemporaryFolder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;
    const std::filesystem::path& path() const {
        return path_;
    }
    std::string file(const std::string& name) const {
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_;
};

// ---- processes

using Environment = std::map<std::string, std::string>;

// Starts the program. Variables of the program that the test does not name are absent.
inline pid_t start_program(const std::vector<std::string>& arguments, const Environment& environment,
                           const std::string& output_file) {
    const pid_t pid = ::fork();
    CHECK(pid >= 0);
    if (pid > 0)
        return pid;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const char* name :
         {"EDGE_NAME", "EDGE_LISTEN", "EDGE_CONFIG", "EDGE_CONTROL", "SILVERRAIL_SETTINGS"})
        ::unsetenv(name);
    for (const auto& [name, value] : environment)
        ::setenv(name.c_str(), value.c_str(), 1);
    const int output = ::open(output_file.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    std::vector<char*> argv{const_cast<char*>(SILVERRAIL_PROGRAM)};
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
}

struct ProgramResult {
    int exit_code;
    std::string output;  // standard output and error together
};

// Runs the program to its end.
inline ProgramResult run_program(const std::vector<std::string>& arguments,
                                 const Environment& environment = {}) {
    const TemporaryFolder folder;
    const std::string output_file = folder.file("output");
    const pid_t pid = start_program(arguments, environment, output_file);
    int status = 0;
    CHECK(::waitpid(pid, &status, 0) == pid);
    CHECK(WIFEXITED(status));
    return {WEXITSTATUS(status), read_file(output_file)};
}

// ---- sockets

inline sockaddr_in loopback(unsigned short port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

inline unsigned short port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    CHECK(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    return ntohs(address.sin_port);
}

inline std::string address_text(unsigned short port) {
    return "127.0.0.1:" + std::to_string(port);
}

// Listening at that port, or at one that the system chooses (0). -1: the port is not to be had.
inline int listen_at(unsigned short port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CHECK(socket >= 0);
    const sockaddr_in address = loopback(port);
    constexpr int kBacklog = 64;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(socket, kBacklog) == 0)
        return socket;
    ::close(socket);
    return -1;
}

// A port that nobody uses. Below those that the system gives to outgoing connections: one of these would be
// taken by any other program on the machine before the router listens there. Each is given once.
inline unsigned short free_port() {
    constexpr unsigned kFirst = 10'000;
    constexpr unsigned kCount = 20'000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<unsigned short> given;
    while (true) {
        const auto port = static_cast<unsigned short>(kFirst + random() % kCount);
        const int socket = listen_at(port);
        if (socket < 0)
            continue;
        ::close(socket);
        if (given.insert(port).second)
            return port;
    }
}

// A connected socket, or -1.
inline int connect_to(unsigned short port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CHECK(socket >= 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return socket;
    ::close(socket);
    return -1;
}

inline bool listens(unsigned short port) {
    const int socket = connect_to(port);
    if (socket >= 0)
        ::close(socket);
    return socket >= 0;
}

inline bool send_all(int socket, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Appends what comes next; false: the connection has ended, or nothing came in time.
inline bool receive_more(int socket, std::string& bytes) {
    pollfd waits{socket, POLLIN, 0};
    constexpr int kMilliseconds = 20'000;
    if (::poll(&waits, 1, kMilliseconds) != 1)
        return false;
    char part[8192];
    const auto count = ::recv(socket, part, sizeof part, 0);
    if (count <= 0)
        return false;
    bytes.append(part, static_cast<std::size_t>(count));
    return true;
}

// ---- HTTP/1.1, as far as the tests need it

struct HttpMessage {
    std::string start_line;
    std::map<std::string, std::string> headers;  // names as they were written
    std::string body;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    bool has(const std::string& name) const {
        return headers.contains(name);
    }
    int status() const {
        return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str());
    }
};

// Takes one message off the front of what has been received; false: the connection ended before it was whole.
inline bool receive_message(int socket, std::string& received, HttpMessage& message) {
    std::size_t end_of_head = 0;
    while ((end_of_head = received.find("\r\n\r\n")) == std::string::npos)
        if (!receive_more(socket, received))
            return false;
    message = {};
    std::istringstream head{received.substr(0, end_of_head)};
    std::getline(head, message.start_line);
    if (message.start_line.ends_with('\r'))
        message.start_line.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (line.ends_with('\r'))
            line.pop_back();
        const auto colon = line.find(": ");
        message.headers[line.substr(0, colon)] = line.substr(colon + 2);
    }
    received.erase(0, end_of_head + 4);
    const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
    while (received.size() < length)
        if (!receive_more(socket, received))
            return false;
    message.body = received.substr(0, length);
    received.erase(0, length);
    return true;
}

// Sends one request on a new connection and takes its answer.
inline HttpMessage http_call(unsigned short port, const std::string& request) {
    const int socket = connect_to(port);
    CHECK(socket >= 0);
    CHECK(send_all(socket, request));
    std::string received;
    HttpMessage answer;
    CHECK(receive_message(socket, received, answer));
    ::close(socket);
    return answer;
}

inline HttpMessage get(unsigned short port, const std::string& target) {
    return http_call(port, "GET " + target + " HTTP/1.1\r\nHost: app.svc\r\n\r\n");
}

// One line to the control address, and its whole answer.
inline std::string control_call(unsigned short port, const std::string& line) {
    const int socket = connect_to(port);
    CHECK(socket >= 0);
    CHECK(send_all(socket, line + "\n"));
    std::string answer;
    while (receive_more(socket, answer)) {}
    ::close(socket);
    return answer;
}

// Accepts connections on a thread of its own, each served on a further one until it ends.
class Listener {
public:
    explicit Listener(std::function<void(int socket)> serve)
        : serve_(std::move(serve)), listening_(listen_at(0)), port_(port_of(listening_)) {
        acceptor_ = std::thread{[this] {
            accept_all();
        }};
    }
    ~Listener() {
        ::shutdown(listening_, SHUT_RDWR);
        acceptor_.join();
        ::close(listening_);
        {
            const std::lock_guard lock{mutex_};
            for (const int socket : sockets_)
                ::shutdown(socket, SHUT_RDWR);
        }
        for (auto& thread : threads_)
            thread.join();
        for (const int socket : sockets_)
            ::close(socket);
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    unsigned short port() const {
        return port_;
    }

private:
    void accept_all() {
        while (true) {
            const int socket = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            const std::lock_guard lock{mutex_};
            sockets_.push_back(socket);
            threads_.emplace_back([this, socket] {
                serve_(socket);
                ::shutdown(socket, SHUT_RDWR);
            });
        }
    }
    std::function<void(int)> serve_;
    int listening_;
    unsigned short port_;
    std::mutex mutex_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

// A stand-in server: answers as it is told to and keeps what it was asked.
class StandInServer {
public:
    // The whole answer as it goes over the wire.
    using Answer = std::function<std::string(const HttpMessage& request)>;

    explicit StandInServer(Answer answer) : answer_(std::move(answer)) {}
    std::string address() const {
        return address_text(listener_.port());
    }
    void answer_with(Answer answer) {
        const std::lock_guard lock{mutex_};
        answer_ = std::move(answer);
    }
    std::vector<HttpMessage> requests() const {
        const std::lock_guard lock{mutex_};
        return requests_;
    }
    std::size_t count() const {
        const std::lock_guard lock{mutex_};
        return requests_.size();
    }
    HttpMessage last_request() const {
        const std::lock_guard lock{mutex_};
        CHECK(!requests_.empty());
        return requests_.back();
    }

private:
    void serve(int socket) {
        std::string received;
        HttpMessage request;
        while (receive_message(socket, received, request)) {
            Answer answer;
            {
                const std::lock_guard lock{mutex_};
                requests_.push_back(request);
                answer = answer_;
            }
            if (!send_all(socket, answer(request)))
                return;
        }
    }
    mutable std::mutex mutex_;
    Answer answer_;
    std::vector<HttpMessage> requests_;
    Listener listener_{[this](int socket) {
        serve(socket);
    }};  // last: it ends before what it uses
};

// Service discovery as the platform offers it: server-sent events, a comment each while.
class DiscoveryStream {
public:
    ~DiscoveryStream() {
        over_ = true;
    }
    std::string address() const {
        return address_text(listener_.port());
    }
    void send_event(const std::string& id, const std::string& data) {
        const std::lock_guard lock{mutex_};
        events_ += "id: " + id + "\ndata: " + data + "\n\n";
    }
    HttpMessage request() const {
        const std::lock_guard lock{mutex_};
        return request_;
    }

private:
    void serve(int socket) {
        std::string received;
        HttpMessage request;
        if (!receive_message(socket, received, request))
            return;
        {
            const std::lock_guard lock{mutex_};
            request_ = request;
        }
        std::string next = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
        while (!over_ && send_all(socket, next + ": alive\n\n")) {
            std::this_thread::sleep_for(50ms);
            const std::lock_guard lock{mutex_};
            next = std::exchange(events_, {});
        }
    }
    std::atomic<bool> over_ = false;
    mutable std::mutex mutex_;
    std::string events_;  // not sent yet
    HttpMessage request_;
    Listener listener_{[this](int socket) {
        serve(socket);
    }};  // last: it ends before what it uses
};

// ---- the router

// A server of the endpoint list, as discovery writes it.
inline Json::Value listed_server(const std::string& id, const std::string& address, const std::string& kind,
                                 const std::string& zone, const std::string& state = "active") {
    Json::Value server = parse_json(R"({"cell":2,"weight":4,"started_ms":0})");
    server["id"] = id;
    server["addr"] = address;
    server["kind"] = kind;
    server["zone"] = zone;
    server["state"] = state;
    return server;
}

// The platform's configuration: three classes, one cache in zone "edge-1", a parent and an origin.
inline Json::Value platform_config(unsigned short port, const std::vector<Json::Value>& servers) {
    Json::Value config = parse_json(R"({
        "name": "n3", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "bulletin": "", "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
        "known": {"no": 1, "items": [{"no": 1, "roster": {"version": 1, "full": true, "servers": []}}]},
        "settings": {
            "classes": [
                {"name": "pages", "aim": 250000000, "aim-stretch": 2, "give-up": 5000000000, "worth": 1,
                 "late-worth": 0.1, "effect": "pure", "group": "cell", "window": 0},
                {"name": "lodge", "aim": 700000000, "aim-stretch": 0, "give-up": 5000000000, "worth": 3,
                 "late-worth": 0, "effect": "side_effect", "group": "cell", "window": 0},
                {"name": "order", "aim": 700000000, "aim-stretch": 0, "give-up": 5000000000, "worth": 3,
                 "late-worth": 0, "effect": "token", "group": "all", "window": 900000000}],
            "zone": "edge-1", "dcs": ["north", "edge-1"], "balancers": 2,
            "kinds": ["small-box", "parent", "origin"], "weights": "nominal",
            "allowed": {"cancel": true, "retry-after": true, "connect-timeout": 400000000,
                        "conn-idle": 15000000000, "max-retry-after": 500000000, "try-limit": 6},
            "invariants": {"cold-from": 0.26, "cold": 14000000000, "tip-multiple": 2, "fall": 3000000000},
            "family-info": {
                "second-tier-kind": 1, "origin-kind": 2, "zone-balancers": [0, 2], "pipe-kb-per-s": [0, 600000],
                "one-flow-kb-per-s": 4000, "max-age": [8000000000, 0, 0], "class-grace": [20000000000, 0, 0],
                "stale-earns": [0.5, 0, 0], "segmented": [false, false, false], "uncached": [false, true, true],
                "detail": "all", "bypass-allowed": false, "shares-fills": true, "heed-within": 500000000,
                "cleared-within": 6000000000, "upper-cold-from": 0.068, "parent-warms-in": 21000000000,
                "parent-limit-factor": 2}}})");
    config["listen"] = address_text(port);
    for (const auto& server : servers)
        value_at(config, "known.items.0.roster.servers").append(server);
    return config;
}

// One router: the real program with its files in a folder of its own.
class RouterProcess {
public:
    unsigned short port = free_port();
    unsigned short control_port = free_port();
    Json::Value settings{Json::objectValue};  // the operator's file

    ~RouterProcess() {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    const TemporaryFolder& folder() const {
        return folder_;
    }
    // Returns once it takes clients.
    void start(const Json::Value& config) {
        write_file(folder_.file("config.json"), to_text(config));
        write_file(folder_.file("settings.json"), to_text(settings));
        pid_ = start_program({}, environment(), folder_.file("log"));
        check_that(wait_until([this] { return ended() || listens(port); }) && !ended(),
                   "the program listens; its log:\n" + log());
    }
    Environment environment() const {
        return {{"EDGE_CONFIG", folder_.file("config.json")},
                {"EDGE_CONTROL", address_text(control_port)},
                {"SILVERRAIL_SETTINGS", folder_.file("settings.json")},
                {"TMPDIR", folder_.path().string()}};
    }
    std::string log() const {
        return read_file(folder_.file("log"));
    }
    void signal(int number) {
        CHECK(::kill(pid_, number) == 0);
    }
    // SIGTERM; its exit code.
    int stop() {
        signal(SIGTERM);
        int status = 0;
        CHECK(::waitpid(pid_, &status, 0) == pid_);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string call(const std::string& line) const {
        return control_call(control_port, line);
    }
    // GET /counters: name to value.
    std::map<std::string, long long> counters() const {
        std::map<std::string, long long> values;
        std::istringstream lines{get(port, "/counters").body};
        for (std::string line; std::getline(lines, line);) {
            const auto space = line.find(' ');
            values[line.substr(0, space)] = std::atoll(line.c_str() + space);
        }
        return values;
    }

private:
    // Whether it has ended by itself. It is reaped later.
    bool ended() const {
        siginfo_t found{};
        return ::waitid(P_PID, static_cast<id_t>(pid_), &found, WEXITED | WNOHANG | WNOWAIT) == 0 &&
               found.si_pid == pid_;
    }
    TemporaryFolder folder_;
    pid_t pid_ = -1;
};

}  // namespace compatibility

// What the review's cases share: stand-in servers, a stand-in for discovery, clients, and the router's
// process. POSIX sockets and a thread for each connection. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

// ---- the record ----------------------------------------------------------------------------------------

class Record {
public:
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        begin_ = unix_ms();
        const char* trouble = std::getenv("TROUBLE");
        line("TROUBLE=%s", trouble ? trouble : "not set");
    }
    // Milliseconds since the record was opened.
    std::int64_t now() const {
        return unix_ms() - begin_;
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock{mutex_};
        if (!file_)
            return;
        std::fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(now()), text);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
    std::int64_t begin_ = 0;
};

inline Record record;

[[noreturn]] inline void could_not_run(const std::string& why) {
    record.line("COULD NOT RUN: %s", why.c_str());
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    std::_Exit(kCouldNotRun);
}

inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string{value} != "0";
}

// ---- sockets -------------------------------------------------------------------------------------------

inline sockaddr_in parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr) != 1)
        could_not_run("not an address: " + address);
    return at;
}

inline std::string local_address(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    char text[INET_ADDRSTRLEN];
    ::inet_ntop(AF_INET, &at.sin_addr, text, sizeof text);
    return std::string{text} + ":" + std::to_string(ntohs(at.sin_port));
}

inline int listen_at(const std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = parse_address(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 1024) != 0)
        could_not_run("cannot listen at " + address + ": " + std::strerror(errno));
    return fd;
}

// A free address: a port that the system chooses, released at once. On a host of 127/8 that belongs to this
// process: a connection that is opened meanwhile has another local address, and so can't take the port.
inline std::string free_address() {
    const auto pid = static_cast<unsigned>(::getpid());
    const std::string host =
        "127.44." + std::to_string(pid / 250 % 250 + 1) + "." + std::to_string(pid % 250 + 1);
    const int fd = listen_at(host + ":0");
    const std::string address = local_address(fd);
    ::close(fd);
    return address;
}

inline int connect_to(const std::string& address, int receive_buffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in at = parse_address(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// ---- HTTP ----------------------------------------------------------------------------------------------

struct Message {
    bool complete = false;
    std::string first_line;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    // Of a response; 0 if there is none.
    int status() const {
        return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
    }
};

// Reads one message. `rest` holds bytes of the connection that were read after it. `bytes_per_s` limits the
// reading; 0: no limit.
inline Message read_message(int fd, std::string& rest, bool response_without_body = false,
                            double bytes_per_s = 0) {
    Message message;
    std::string bytes = std::move(rest);
    rest.clear();
    char chunk[8192];
    const auto more = [&] {
        const auto got = ::recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0)
            return false;
        bytes.append(chunk, static_cast<std::size_t>(got));
        if (bytes_per_s > 0)
            std::this_thread::sleep_for(
                std::chrono::duration<double>(static_cast<double>(got) / bytes_per_s));
        return true;
    };
    std::size_t end = 0;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos)
        if (!more())
            return message;
    std::istringstream head{bytes.substr(0, end)};
    std::getline(head, message.first_line);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string{} : line.substr(value);
    }
    const bool no_body = response_without_body || message.status() == 304;
    const std::size_t length =
        no_body ? 0 : std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    while (bytes.size() < end + 4 + length)
        if (!more())
            return message;
    message.body = bytes.substr(end + 4, length);
    rest = bytes.substr(end + 4 + length);
    message.complete = true;
    return message;
}

// ---- stand-ins that listen -----------------------------------------------------------------------------

// Calls the handler on a thread of its own for each connection. Handlers return when the connection ends.
class Listener {
public:
    using Handler = std::function<void(int fd)>;
    explicit Listener(Handler handler, const std::string& at = "127.0.0.1:0")
        : handler_(std::move(handler)), fd_(listen_at(at)), address_(local_address(fd_)) {
        start();
    }
    ~Listener() {
        stop();
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    const std::string& address() const {
        return address_;
    }
    // Ends all connections and waits until their handlers have returned; new ones are refused.
    void stop() {
        if (fd_ < 0)
            return;
        ::shutdown(fd_, SHUT_RDWR);
        accepting_.join();
        ::close(std::exchange(fd_, -1));
        {
            const std::lock_guard lock{mutex_};
            for (const int open : open_)
                ::shutdown(open, SHUT_RDWR);
        }
        while (!has_no_connection())
            sleep_ms(1);
    }
    // Listens again at the same address.
    void restart() {
        fd_ = listen_at(address_);
        start();
    }

private:
    bool has_no_connection() {
        const std::lock_guard lock{mutex_};
        return open_.empty();
    }
    void start() {
        accepting_ = std::thread{[this, fd = fd_] {
            while (true) {
                const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                const int on = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock{mutex_};
                    open_.push_back(accepted);
                }
                std::thread{[this, accepted] {
                    handler_(accepted);
                    const std::lock_guard lock{mutex_};
                    std::erase(open_, accepted);
                    ::close(accepted);
                }}.detach();
            }
        }};
    }
    Handler handler_;
    int fd_;
    std::string address_;
    std::thread accepting_;
    std::mutex mutex_;
    std::vector<int> open_;
};

// A server of the platform: a cache ("shelf"), a parent or the origin.
struct ServerRequest {
    std::string call_id;
    std::string path;
    std::string method;
    Message message;
};

class Server {
public:
    // Returns the whole answer, or nothing: the connection is reset under the request.
    using Answer = std::function<std::optional<std::string>(const ServerRequest&)>;
    Server(std::string an_id, std::string a_zone, std::string a_kind, Answer answer, int weight = 10)
        : id(std::move(an_id)),
          zone(std::move(a_zone)),
          kind(std::move(a_kind)),
          answer_(std::move(answer)),
          weight_(weight),
          listener_([this](int fd) { serve(fd); }) {}
    const std::string& address() const {
        return listener_.address();
    }
    Listener& listener() {
        return listener_;
    }
    std::string json(const std::string& state = "active") const {
        return R"({"id":")" + id + R"(","addr":")" + address() + R"(","zone":")" + zone + R"(","kind":")" +
               kind + R"(","cell":1,"state":")" + state + R"(","weight":)" + std::to_string(weight_) +
               R"(,"started_ms":0})";
    }
    const std::string id;
    const std::string zone;
    const std::string kind;

private:
    void serve(int fd) {
        std::string rest;
        while (true) {
            ServerRequest request;
            request.message = read_message(fd, rest);
            if (!request.message.complete)
                return;
            std::istringstream words{request.message.first_line};
            words >> request.method >> request.path;
            request.call_id = request.message.header("call-id");
            const auto answer = answer_(request);
            if (!answer) {
                const linger at_once{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            }
            if (!answer || !send_all(fd, *answer))
                return;
        }
    }
    Answer answer_;
    int weight_;
    Listener listener_;
};

inline std::string server_answer(const std::string& status, const std::string& headers,
                                 const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// ---- discovery ----------------------------------------------------------------------------------------

// Discovery: numbered events, and a comment each second. While it is down connections to it are refused.
class Bulletin {
public:
    Bulletin() : listener_([this](int fd) { serve(fd); }) {}
    ~Bulletin() {
        down_ = true;  // ends the handlers
        listener_.stop();
    }
    Bulletin(const Bulletin&) = delete;
    Bulletin& operator=(const Bulletin&) = delete;
    const std::string& address() const {
        return listener_.address();
    }
    void publish(const std::string& event) {
        const std::lock_guard lock{mutex_};
        const std::size_t number = kFirstNumber + events_.size();
        events_.push_back("{\"no\":" + std::to_string(number) + "," + event + "}");
    }
    void go_down() {
        record.line("discovery goes down");
        down_ = true;
        listener_.stop();
    }
    // Events that it has missed to tell are told at intervals.
    void come_back(std::int64_t event_interval_ms) {
        event_interval_ms_ = event_interval_ms;
        down_ = false;
        listener_.restart();
        record.line("discovery is back");
    }

private:
    static constexpr std::size_t kFirstNumber = 2;  // after the list of the start
    std::string event(std::size_t number) {
        const std::lock_guard lock{mutex_};
        return number - kFirstNumber < events_.size() ? events_[number - kFirstNumber] : std::string{};
    }
    void serve(int fd) {
        std::string rest;
        const Message request = read_message(fd, rest);
        if (!request.complete || !send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
            return;
        auto number = std::strtoull(request.header("last-event-id").c_str(), nullptr, 10) + 1;
        record.line("discovery is asked for the events from %llu on", number);
        std::int64_t comment_at = unix_ms() + 1000;
        while (!down_) {
            if (unix_ms() >= comment_at) {
                comment_at += 1000;
                if (!send_all(fd, ": here\n\n"))
                    return;
            }
            const std::string next = event(number);
            if (next.empty()) {
                sleep_ms(5);
                continue;
            }
            sleep_ms(event_interval_ms_);
            if (!send_all(fd, "id: " + std::to_string(number) + "\ndata: " + next + "\n\n"))
                return;
            record.line("discovery tells %s", next.c_str());
            ++number;
        }
    }
    std::mutex mutex_;
    std::vector<std::string> events_;
    std::atomic<bool> down_{false};
    std::atomic<std::int64_t> event_interval_ms_{0};
    Listener listener_;
};

// ---- clients -------------------------------------------------------------------------------------------

inline std::string trace_id() {
    static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(unix_ms()) << 20};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

inline std::string object_id(int number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

struct ClientRequest {
    std::string method = "GET";
    std::string class_name;
    std::string object;
    int part = 0;
    int lot = 17;
    int max_wait_ms = 3000;
    std::string headers;  // additional ones
    std::string body;
    std::string id = trace_id();

    std::string text() const {
        std::string out = method + " /ops/" + class_name + "/" + object + "/piece-" + std::to_string(part) +
                          " HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + id +
                          "\r\nMax-Wait-Ms: " + std::to_string(max_wait_ms) +
                          "\r\nX-Lot: " + std::to_string(lot) + "\r\n" + headers;
        if (method == "PUT")
            out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        return out + "\r\n" + body;
    }
};

// On a connection of its own.
inline Message ask(const std::string& address, const ClientRequest& request, int receive_buffer = 0,
                   double bytes_per_s = 0) {
    const int fd = connect_to(address, receive_buffer);
    if (fd < 0)
        return {};
    Message answer;
    std::string rest;
    if (send_all(fd, request.text()))
        answer = read_message(fd, rest, false, bytes_per_s);
    ::close(fd);
    return answer;
}

// One line to the second address.
inline std::string command(const std::string& address, const std::string& line) {
    const int fd = connect_to(address);
    if (fd < 0)
        return "no connection";
    std::string answer;
    send_all(fd, line + "\n");
    char chunk[4096];
    for (ssize_t got = 0; (got = ::recv(fd, chunk, sizeof chunk, 0)) > 0;)
        answer.append(chunk, static_cast<std::size_t>(got));
    ::close(fd);
    while (!answer.empty() && answer.back() == '\n')
        answer.pop_back();
    return answer;
}

// ---- the router's process ------------------------------------------------------------------------------

struct RouterFiles {
    std::string folder;  // temporary; holds the configuration, the log and $TMPDIR
    std::string name;
    std::string listen;
    std::string control;   // empty: none
    std::string settings;  // the operator's file; empty: the one of the repository
};

// Started by /bin/sh -c with the deploy file's `run` from the repository's root, as the platform does.
class Router {
public:
    explicit Router(RouterFiles files) : files_(std::move(files)) {
        const char* run = std::getenv("RUN_COMMAND");
        const char* root = std::getenv("REPOSITORY");
        if (!run || !root)
            could_not_run("RUN_COMMAND and REPOSITORY are not set; start run.sh");
        const std::string tmp = files_.folder + "/tmp-" + files_.name;
        (void)!std::system(("mkdir -p '" + tmp + "'").c_str());
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("EDGE_NAME", files_.name.c_str(), 1);
            ::setenv("EDGE_LISTEN", files_.listen.c_str(), 1);
            ::setenv("EDGE_CONFIG", (files_.folder + "/" + files_.name + ".json").c_str(), 1);
            ::setenv("TMPDIR", tmp.c_str(), 1);
            if (!files_.control.empty())
                ::setenv("EDGE_CONTROL", files_.control.c_str(), 1);
            if (!files_.settings.empty())
                ::setenv("SILVERRAIL_SETTINGS", files_.settings.c_str(), 1);
            const int log = ::open((files_.folder + "/" + files_.name + ".log").c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            if (::chdir(root) != 0)
                ::_exit(127);
            ::execl("/bin/sh", "/bin/sh", "-c", run, nullptr);
            ::_exit(127);
        }
    }
    ~Router() {
        end();
    }
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;
    pid_t pid() const {
        return pid_;
    }
    const std::string& address() const {
        return files_.listen;
    }
    const std::string& control() const {
        return files_.control;
    }
    void wait_until_ready() {
        for (int i = 0; i < 300; ++i) {
            const int fd = connect_to(files_.listen);
            if (fd >= 0) {
                std::string rest;
                send_all(fd, "GET /alive HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
                const int status = read_message(fd, rest).status();
                ::close(fd);
                if (status == 200)
                    return;
            }
            if (ended())
                could_not_run("the router " + files_.name + " ended at its start");
            sleep_ms(100);
        }
        could_not_run("the router " + files_.name + " was not ready within 30 s");
    }
    void signal(int number) const {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    bool ended() {
        if (pid_ > 0 && ::waitpid(pid_, &wait_status_, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ < 0;
    }
    void end() {
        signal(SIGTERM);
        for (int i = 0; i < 500 && !ended(); ++i)
            sleep_ms(10);
        if (!ended()) {
            signal(SIGKILL);
            ::waitpid(pid_, &wait_status_, 0);
            pid_ = -1;
        }
    }

private:
    RouterFiles files_;
    pid_t pid_ = -1;
    int wait_status_ = 0;
};

// Memory that the process alone uses: neither its binary and libraries nor its sockets are counted.
inline long anonymous_kb(pid_t pid) {
    std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
    std::string word;
    long kb = 0;
    while (file >> word) {
        if (word == "RssAnon:")
            file >> kb;
        file.ignore(1000, '\n');
    }
    return kb;
}

// The platform: watches the router's memory, and kills it when it is over the limit.
class MemoryWatch {
public:
    MemoryWatch(const Router& router, int memory_mb)
        : pid_(router.pid()), limit_kb_(memory_mb * 1024L), thread_([this] { watch(); }) {}
    ~MemoryWatch() {
        stop();
    }
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;
    void stop() {
        done_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    const std::atomic<bool>& killed() const {
        return killed_;
    }
    long most_kb() const {
        return most_kb_;
    }

private:
    void watch() {
        while (!done_) {
            const long kb = anonymous_kb(pid_);
            most_kb_ = std::max(most_kb_, kb);
            if (kb > limit_kb_) {
                ::kill(pid_, SIGKILL);
                killed_ = true;
                record.line("the router holds %ld KB, over memory_mb (%ld KB): the platform kills it", kb,
                            limit_kb_);
                return;
            }
            sleep_ms(5);
        }
    }
    const pid_t pid_;
    const long limit_kb_;
    std::atomic<bool> done_{false};
    std::atomic<bool> killed_{false};
    long most_kb_ = 0;
    std::thread thread_;
};

inline void write_file(const std::string& path, const std::string& text) {
    std::ofstream file{path};
    file << text;
    if (!file.flush())
        could_not_run("cannot write " + path);
}

inline std::string join(const std::vector<std::string>& items) {
    std::string out;
    for (const auto& item : items)
        out += (out.empty() ? "" : ",") + item;
    return out;
}

// The list of the start, as the first event of discovery.
inline std::string known(const std::vector<std::string>& servers) {
    return R"({"no":1,"items":[{"no":1,"roster":{"version":1,"full":true,"servers":[)" + join(servers) +
           "]}}]}";
}

// A configuration like that of a small deployment: one location `zone`, a hub, and the origin.
struct Deployment {
    std::string zone = "edge-1";
    std::vector<std::string> zones = {"north", "edge-1"};
    int routers = 1;
    int memory_mb = 192;
    int sockets = 1024;
    std::string bulletin;  // empty: none
    std::vector<std::string> servers;
    std::string classes;    // JSON, without the brackets
    std::string per_class;  // JSON, the lists of `family-info` with one value for each class
};

inline std::string configuration(const RouterFiles& files, const Deployment& deployment) {
    std::vector<std::string> names;
    std::vector<std::string> routers;
    std::vector<std::string> links;
    for (const auto& zone : deployment.zones) {
        names.push_back("\"" + zone + "\"");
        routers.push_back(zone == deployment.zone ? std::to_string(deployment.routers) : "0");
        links.push_back(zone == deployment.zone ? "600000" : "0");
    }
    return R"({"name":")" + files.name + R"(","listen":")" + files.listen +
           R"(","seed":"8c1f30d27a5be964",)" +
           (deployment.bulletin.empty() ? std::string{} : R"("bulletin":")" + deployment.bulletin + R"(",)") +
           R"("limits":{"cores":1.0,"memory_mb":)" + std::to_string(deployment.memory_mb) + R"(,"sockets":)" +
           std::to_string(deployment.sockets) +
           R"(},"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":)" + known(deployment.servers) +
           R"(,"settings":{"allowed":{"cancel":true,"connect-timeout":400000000,"conn-idle":15000000000,
"retry-after":true,"max-retry-after":500000000,"try-limit":6,"second-copies":true},"classes":[)" +
           deployment.classes + R"(],"zone":")" + deployment.zone + R"(","dcs":[)" + join(names) +
           R"(],"weights":"rough","balancers":)" + std::to_string(deployment.routers) +
           R"(,"kinds":["small-box","hub","store"],"family-info":{"second-tier-kind":1,"origin-kind":2,
"zone-balancers":[)" +
           join(routers) + R"(],"pipe-kb-per-s":[)" + join(links) +
           R"(],"one-flow-kb-per-s":6400,"detail":"all","heed-within":500000000,"cleared-within":6000000000,
"upper-cold-from":0.068,"parent-warms-in":21000000000,"parent-limit-factor":2,)" +
           deployment.per_class +
           R"(},"invariants":{"cold-from":0.26,"cold":14000000000,"tip-multiple":2,"fall":3000000000,
"drain-grace":2000000000}}})";
}

}  // namespace review

// What the cases of the second review share: a record, stand-in servers, discovery and clients on loopback,
// and the router as a process of its own. Blocking sockets, one thread for each connection. Times are of the
// real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

constexpr int kHeld = 0;      // the rule held
constexpr int kBroken = 1;    // the rule was broken
constexpr int kCouldNot = 2;  // the case could not run

inline std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}
inline std::int64_t steady_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(std::int64_t ms) {
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}
inline bool trouble() {
    const char* text = ::getenv("TROUBLE");
    return !text || std::string{text} != "0";
}

// record.txt: a line for each thing sent, answered and run, with the ms since the start of the case.
class Record {
public:
    bool open(const std::string& path) {
        file_ = ::fopen(path.c_str(), "w");
        return file_ != nullptr;
    }
    std::int64_t now() const {
        return steady_ms() - began_;
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock{mutex_};
        if (!file_)
            return;
        ::fprintf(file_, "%7lld ", static_cast<long long>(now()));
        va_list values;
        va_start(values, format);
        ::vfprintf(file_, format, values);
        va_end(values);
        ::fputc('\n', file_);
        ::fflush(file_);
    }

private:
    FILE* file_ = nullptr;
    std::mutex mutex_;
    std::int64_t began_ = steady_ms();
};
inline Record record;

// ---- sockets ---------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}
// Listens at `port`, or at one that the system chooses. -1: it can't.
inline int listen_at(int port, int* chosen) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    socklen_t size = sizeof at;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    *chosen = ntohs(at.sin_port);
    return fd;
}
// A port that is free for TCP and UDP just now.
inline int free_port() {
    for (int i = 0; i < 100; ++i) {
        int port = 0;
        const int tcp = listen_at(0, &port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = loopback(port);
        const bool ok = ::bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        ::close(tcp);
        ::close(udp);
        if (ok)
            return port;
    }
    return 0;
}
inline int connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
        return fd;
    ::close(fd);
    return -1;
}
inline bool write_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto put = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (put < 0 && errno == EINTR)
            continue;
        if (put <= 0)
            return false;
        done += static_cast<std::size_t>(put);
    }
    return true;
}
inline void reset_and_close(int fd) {
    const linger now{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(fd);
}

// ---- messages --------------------------------------------------------------------------------------------

struct Message {
    std::string start;                           // the first line
    std::map<std::string, std::string> headers;  // names in small letters
    std::string body;
    std::int64_t first_ms = 0;  // record.now() at its first byte
    std::int64_t last_ms = 0;   // and at its last one

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    std::string method() const {
        return start.substr(0, start.find(' '));
    }
    std::string target() const {
        const auto begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    int status() const {
        return start.size() < 12 ? 0 : ::atoi(start.c_str() + 9);
    }
};

enum class Read { whole, end, late };

// Reads one message with a Content-Length or without a body. `buffer` holds bytes beyond it for the next
// call.
inline Read read_message(int fd, std::string& buffer, Message& message, std::int64_t wait_ms,
                         const std::atomic<bool>* stop = nullptr) {
    const std::int64_t until = steady_ms() + wait_ms;
    message = {};
    if (!buffer.empty())
        message.first_ms = record.now();
    while (true) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            if (message.start.empty()) {
                std::size_t at = buffer.find("\r\n");
                message.start = buffer.substr(0, at);
                while (at < end) {
                    const std::size_t next = std::min(buffer.find("\r\n", at + 2), end);
                    const std::string line = buffer.substr(at + 2, next - at - 2);
                    const auto colon = line.find(':');
                    std::string name = line.substr(0, colon);
                    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
                    value.erase(0, value.find_first_not_of(' '));
                    message.headers[name] = value;
                    at = next;
                }
            }
            const bool bodiless = message.status() == 304;
            const std::size_t length =
                bodiless ? 0 : static_cast<std::size_t>(::atoll(message.header("content-length").c_str()));
            if (buffer.size() >= end + 4 + length) {
                message.body = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                message.last_ms = record.now();
                return Read::whole;
            }
        }
        const std::int64_t left = until - steady_ms();
        if (left <= 0)
            return Read::late;
        if (stop && stop->load())
            return Read::end;
        pollfd readable{fd, POLLIN, 0};
        const int ready = ::poll(&readable, 1, static_cast<int>(std::min<std::int64_t>(left, 100)));
        if (ready <= 0)
            continue;
        char bytes[65536];
        const auto got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got < 0 && errno == EINTR)
            continue;
        if (got <= 0)
            return Read::end;
        if (buffer.empty())
            message.first_ms = record.now();
        buffer.append(bytes, static_cast<std::size_t>(got));
    }
}

// ---- stand-ins -------------------------------------------------------------------------------------------

// Runs a function for each connection that it accepts, each on a thread of its own.
class Listener {
public:
    using Serve = std::function<void(int fd, const std::atomic<bool>& stop)>;
    explicit Listener(Serve serve, int port = 0) : serve_(std::move(serve)) {
        up(port);
    }
    ~Listener() {
        down();
    }
    int port() const {
        return port_;
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(port_);
    }
    bool up(int port) {
        stop_ = false;
        fd_ = listen_at(port, &port_);
        if (fd_ < 0)
            return false;
        acceptor_ = std::thread{[this] {
            accept();
        }};
        return true;
    }
    // Ends as a process does: its connections end with it, new ones are refused.
    void down() {
        stop_ = true;
        if (acceptor_.joinable())
            acceptor_.join();
        for (auto& thread : connections_)
            thread.join();
        connections_.clear();
        for (const int fd : std::exchange(fillers_, {}))
            ::close(fd);
        cut_ = false;
    }
    // As a machine that is cut off: open connections stay open and silent, new ones never come up. For the
    // latter the queue of connections to accept is made as short as it can be, and filled.
    void cut() {
        cut_ = true;
        ::listen(fd_, 0);
        for (int i = 0; i < 4; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            const sockaddr_in at = loopback(port_);
            ::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
            fillers_.push_back(fd);
        }
    }
    // Waits while it is cut off. False: it has ended meanwhile.
    bool reachable() const {
        while (cut_ && !stop_)
            sleep_ms(5);
        return !stop_;
    }
    // Closes the open connections and goes on listening.
    void drop_connections() {
        const std::lock_guard lock{mutex_};
        for (const int fd : open_)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void accept() {
        while (!stop_) {
            pollfd readable{fd_, POLLIN, 0};
            if (cut_)
                sleep_ms(20);
            if (cut_ || ::poll(&readable, 1, 20) <= 0 || cut_)
                continue;
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            connections_.emplace_back([this, fd] {
                {
                    const std::lock_guard lock{mutex_};
                    open_.insert(fd);
                }
                serve_(fd, stop_);
                const std::lock_guard lock{mutex_};
                open_.erase(fd);
                ::close(fd);
            });
        }
        ::close(fd_);
    }
    Serve serve_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stop_{false};
    std::atomic<bool> cut_{false};
    std::vector<int> fillers_;
    std::thread acceptor_;
    std::list<std::thread> connections_;
    std::mutex mutex_;
    std::set<int> open_;
};

inline std::string http_answer(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server: one request at a time on a connection. The handler gives the whole answer; empty: it closes.
class Server {
public:
    using Handler = std::function<std::string(const Message&)>;
    Server(std::string id, std::string kind, std::string zone, double weight, Handler handler, int port = 0)
        : id_(std::move(id)),
          kind_(std::move(kind)),
          zone_(std::move(zone)),
          weight_(weight),
          listener_(
              [this, handler](int fd, const std::atomic<bool>& stop) {
                  std::string buffer;
                  Message request;
                  while (!stop && read_message(fd, buffer, request, 3'600'000, &stop) == Read::whole &&
                         listener_.reachable()) {
                      const std::string answer = handler(request);
                      if (answer.empty() || !write_all(fd, answer))
                          return;
                  }
              },
              port) {}
    const std::string& id() const {
        return id_;
    }
    Listener& listener() {
        return listener_;
    }
    // Its entry in the list.
    std::string entry(const char* state, std::int64_t started_ms = 0) const {
        char text[512];
        ::snprintf(
            text, sizeof text,
            R"({"id":"%s","addr":"%s","zone":"%s","kind":"%s","cell":1,"state":"%s","weight":%g,"started_ms":%lld})",
            id_.c_str(), listener_.address().c_str(), zone_.c_str(), kind_.c_str(), state, weight_,
            static_cast<long long>(started_ms));
        return text;
    }

private:
    std::string id_, kind_, zone_;
    double weight_;
    Listener listener_;
};

// Discovery: numbered events as server-sent events, a comment each second.
class Discovery {
public:
    explicit Discovery(std::int64_t first_number = 2)
        : first_(first_number),
          listener_([this](int fd, const std::atomic<bool>& stop) { serve(fd, stop); }) {}
    std::string address() const {
        return listener_.address();
    }
    // How long it takes to answer a call for the stream, from when it was asked.
    std::atomic<std::int64_t> answer_after_ms{0};
    // From now on open streams fall behind by half a second each second, until they are `most_ms` behind. All
    // that is written comes in its order: events, and the comments of each second.
    void fall_behind(std::int64_t most_ms) {
        record.line("discovery: falls behind, by %lld ms at most", static_cast<long long>(most_ms));
        most_behind_ms_ = most_ms;
        behind_since_ = steady_ms();
    }

    // `what`: the event without its number, as in "roster":{...}
    std::int64_t publish(const std::string& what) {
        const std::lock_guard lock{mutex_};
        const std::int64_t number = first_ + static_cast<std::int64_t>(events_.size());
        events_.push_back("{\"no\":" + std::to_string(number) + "," + what + "}");
        published_.push_back(steady_ms());
        record.line("discovery: event %lld is in the bulletin: %s", static_cast<long long>(number),
                    what.c_str());
        return number;
    }
    std::int64_t publish_list(const std::vector<std::string>& entries) {
        std::string text;
        for (const auto& entry : entries)
            text += (text.empty() ? "" : ",") + entry;
        return publish("\"roster\":{\"version\":1,\"full\":false,\"servers\":[" + text + "]}");
    }
    void down() {
        record.line("discovery: down");
        port_ = listener_.port();
        listener_.down();
    }
    bool up() {
        record.line("discovery: up again");
        return listener_.up(port_);
    }
    void drop_connections() {
        record.line("discovery: closes its open streams");
        listener_.drop_connections();
    }
    std::atomic<int> streams{0};  // answered calls

private:
    struct Item {
        std::int64_t made_at;
        std::int64_t number;  // 0: a comment
        std::string text;
    };
    // Adds the events from number `next` on.
    void add_events(std::int64_t& next, std::list<Item>& items) {
        const std::lock_guard lock{mutex_};
        for (; next < first_ + static_cast<std::int64_t>(events_.size()); ++next) {
            const auto at = static_cast<std::size_t>(std::max<std::int64_t>(0, next - first_));
            items.push_back(
                {published_[at], next, "id: " + std::to_string(next) + "\ndata: " + events_[at] + "\n\n"});
        }
    }
    // When what was made at `made_at` is written to the streams.
    std::int64_t told_at(std::int64_t made_at) const {
        const std::int64_t since = behind_since_;
        if (since == 0 || made_at < since)
            return made_at;
        return made_at + std::min(most_behind_ms_.load(), (made_at - since) / 2);
    }
    void serve(int fd, const std::atomic<bool>& stop) {
        std::string buffer;
        Message request;
        if (read_message(fd, buffer, request, 60'000, &stop) != Read::whole)
            return;
        const std::int64_t wait = answer_after_ms;
        record.line("discovery: asked for what follows %s, answers in %lld ms",
                    request.header("last-event-id").c_str(), static_cast<long long>(wait));
        const std::int64_t answer_at = steady_ms() + wait;
        while (steady_ms() < answer_at) {
            pollfd state{fd, POLLIN, 0};
            char byte = 0;
            const bool left = ::poll(&state, 1, 10) > 0 && ::recv(fd, &byte, 1, MSG_PEEK) <= 0;
            if (left)
                record.line("discovery: the asker has closed, %lld ms before its answer",
                            static_cast<long long>(answer_at - steady_ms()));
            if (left || stop)
                return;
        }
        std::int64_t next = ::atoll(request.header("last-event-id").c_str()) + 1;
        if (!write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
            return;
        ++streams;
        record.line("discovery: stream open, tells from event %lld", static_cast<long long>(next));
        std::int64_t comment_at = steady_ms();
        std::list<Item> items;
        while (!stop) {
            add_events(next, items);
            for (; steady_ms() >= comment_at; comment_at += 1000)
                items.push_back({comment_at, 0, ": \n\n"});
            for (; !items.empty() && steady_ms() >= told_at(items.front().made_at); items.pop_front()) {
                if (items.front().number > 0)
                    record.line("discovery: tells event %lld", static_cast<long long>(items.front().number));
                if (!write_all(fd, items.front().text))
                    return;
            }
            pollfd state{fd, POLLIN, 0};
            char byte = 0;
            if (::poll(&state, 1, 10) > 0 && ::recv(fd, &byte, 1, MSG_PEEK) <= 0)
                return;
        }
    }
    std::int64_t first_;
    std::vector<std::string> events_;
    std::vector<std::int64_t> published_;
    std::atomic<std::int64_t> behind_since_{0};
    std::atomic<std::int64_t> most_behind_ms_{0};
    std::mutex mutex_;
    int port_ = 0;
    Listener listener_;
};

// ---- clients ---------------------------------------------------------------------------------------------

struct Answer {
    Read read = Read::end;
    Message message;
    std::int64_t sent_ms = 0;  // record.now() when its last byte was written
    int status() const {
        return read == Read::whole ? message.status() : 0;
    }
};

inline std::string new_id() {
    static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(unix_ms()) << 20 ^
                                           static_cast<std::uint64_t>(::getpid())};
    char text[17];
    ::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
    return text;
}
inline std::string object_id(unsigned number) {
    char text[17];
    ::snprintf(text, sizeof text, "%016llx", 0x7f3a9c2100000000ULL + number * 2654435761ULL % 0xffffffffULL);
    return text;
}
inline std::string client_request(const std::string& method, const std::string& class_name,
                                  const std::string& object, const std::string& id, int max_wait_ms, int lot,
                                  const std::string& more = {}, const std::string& body = {}) {
    return method + " /ops/" + class_name + "/" + object +
           "/piece-0 HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + id +
           "\r\nMax-Wait-Ms: " + std::to_string(max_wait_ms) + "\r\nX-Lot: " + std::to_string(lot) + "\r\n" +
           more +
           (method == "PUT" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : std::string{}) +
           "\r\n" + body;
}
// On a connection of its own, which it closes.
inline Answer ask(int port, const std::string& request, std::int64_t wait_ms) {
    Answer answer;
    const int fd = connect_to(port);
    if (fd < 0)
        return answer;
    if (write_all(fd, request)) {
        answer.sent_ms = record.now();
        std::string buffer;
        answer.read = read_message(fd, buffer, answer.message, wait_ms);
    }
    ::close(fd);
    return answer;
}
// A call to an operators' address, and its whole answer.
inline std::string control_all(int port, const std::string& line) {
    const int fd = connect_to(port);
    if (fd < 0)
        return {};
    std::string text;
    if (write_all(fd, line + "\n")) {
        pollfd readable{fd, POLLIN, 0};
        char bytes[4096];
        while (::poll(&readable, 1, 1500) > 0) {
            const auto got = ::recv(fd, bytes, sizeof bytes, 0);
            if (got <= 0)
                break;
            text.append(bytes, static_cast<std::size_t>(got));
        }
    }
    ::close(fd);
    std::replace(text.begin(), text.end(), '\n', '|');
    return text;
}
// The first line of the answer.
inline std::string control(int port, const std::string& line) {
    const std::string text = control_all(port, line);
    return text.substr(0, text.find('|'));
}

// ---- the router ------------------------------------------------------------------------------------------

struct RouterSettings {
    std::string name = "n1";
    std::string zone = "edge-1";
    std::string discovery;
    std::string known;  // the servers' entries
    std::int64_t known_number = 1;
    int bulk_give_up_ms = 5000;
    double kb_per_s = 6400;
    int routers = 1;
    double cores = 1;
    int memory_mb = 192;
    int sockets = 1024;
    double flow_bytes_per_s = 310000;
    double link_bytes_per_s = 1240000;
};

// The configuration of a router at `port`, with the figures of the first deployment's example.
inline std::string config_text(const RouterSettings& s, int port, int control_port) {
    std::string text = R"({"name":"@NAME@","listen":"127.0.0.1:@PORT@",@CONTROL@"seed":"8c1f30d27a5be964",
 "limits":{"cores":@CORES@,"memory_mb":@MB@,"sockets":@SOCKETS@},
 @BULLETIN@"flow_bytes_per_s":@FLOW@,"link_bytes_per_s":@LINK@,
 "known":{"no":@KNOWNNO@,"items":[{"no":1,"roster":{"version":1,"full":true,"servers":[@KNOWN@]}}]},
 "settings":{
  "allowed":{"cancel":true,"conn-idle":15000000000,"connect-timeout":400000000,"max-retry-after":500000000,
   "open-cap":20000,"peer-messages":false,"probes":false,"retry-after":true,"second-copies":false,"try-limit":6},
  "balancers":@ROUTERS@,
  "classes":[
   {"name":"bulk-files","aim":400000000,"aim-stretch":1.6,"effect":"pure","give-up":@GIVEUP@,"group":"all","late-worth":0.15,"window":5000000000,"worth":2.0},
   {"name":"portal-pages","aim":250000000,"aim-stretch":2.0,"effect":"pure","give-up":2500000000,"group":"all","late-worth":0.2,"window":5000000000,"worth":1.0},
   {"name":"pay-run-lodge","aim":700000000,"effect":"side_effect","give-up":3000000000,"group":"all","late-worth":0.0,"window":5000000000,"worth":3.0}],
  "clients":{"marks-retry":false},"dcs":["north","central","south","edge-1","edge-2"],"family":"edge",
  "family-info":{"bypass-allowed":false,"class-grace":[0,20000000000,0],"cleared-within":6000000000,"detail":"all",
   "heed-within":500000000,"hub-of":[0,1,2,1,1],"max-age":[0,8000000000,0],"one-flow-kb-per-s":@KBPS@,
   "origin-kind":3,"parent-limit-factor":2.0,"parent-warms-in":21000000000,"peers-fill":"any",
   "pipe-kb-per-s":[0,0,0,71059,71059],"second-tier-kind":2,"segmented":[false,false,false],"shares-fills":false,
   "stale-earns":[0.7,0.5,0.7],"uncached":[false,false,true],"upper-cold-from":0.068,"zone-balancers":[0,0,0,@ROUTERS@,@ROUTERS@]},
  "invariants":{"answer-slack":8000000,"cold":14000000000,"cold-from":0.26,"drain-grace":2000000000,
   "fall":3000000000,"must-ask-in":10000000000,"tip-multiple":2.0},
  "kinds":["small-box","large-box","parent","origin"],"me":0,"orgs":[],"registry-mode":"push",
  "report":{"fields":["concurrent","load_share","x1","x0"],"how":"inline"},"round":2000000,
  "stages":["branch-cache"],"tier":0,"weights":"rough","worth-by":"request","zone":"@ZONE@"}})";
    const auto put = [&text](const std::string& name, const std::string& value) {
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
            text.replace(at, name.size(), value);
    };
    put("@NAME@", s.name);
    put("@ZONE@", s.zone);
    put("@PORT@", std::to_string(port));
    put("@CONTROL@", control_port ? "\"control\":\"127.0.0.1:" + std::to_string(control_port) + "\"," : "");
    put("@CORES@", std::to_string(s.cores));
    put("@MB@", std::to_string(s.memory_mb));
    put("@SOCKETS@", std::to_string(s.sockets));
    put("@BULLETIN@", s.discovery.empty() ? "" : "\"bulletin\":\"" + s.discovery + "\",");
    put("@FLOW@", std::to_string(static_cast<long long>(s.flow_bytes_per_s)));
    put("@LINK@", std::to_string(static_cast<long long>(s.link_bytes_per_s)));
    put("@KNOWNNO@", std::to_string(s.known_number));
    put("@KNOWN@", s.known);
    put("@ROUTERS@", std::to_string(s.routers));
    put("@GIVEUP@", std::to_string(static_cast<long long>(s.bulk_give_up_ms) * 1'000'000));
    put("@KBPS@", std::to_string(s.kb_per_s));
    return text;
}

// A folder of the case's own for the processes, removed at the end.
class Folder {
public:
    Folder() {
        char name[] = "/tmp/silverrail-review-XXXXXX";
        const char* made = ::mkdtemp(name);
        path_ = made ? made : "";
    }
    ~Folder() {
        std::error_code ignored;
        if (!path_.empty())
            std::filesystem::remove_all(path_, ignored);
    }
    std::string make(const std::string& name) const {
        std::filesystem::create_directories(path_ + "/" + name);
        return path_ + "/" + name;
    }
    const std::string& path() const {
        return path_;
    }

private:
    std::string path_;
};

inline void write_file(const std::string& path, const std::string& text) {
    const std::string fresh = path + ".new";
    std::ofstream{fresh} << text;
    std::filesystem::rename(fresh, path);
}

// One process of the router, started with the deploy file's command from the repository's root.
class Router {
public:
    Router(const std::string& command, const std::string& folder, const std::string& config_path, int port,
           int control_port, const std::string& operator_file = {}, const std::string& log_name = "log") {
        const std::string tmp = folder + "/tmp";
        std::filesystem::create_directories(tmp);
        const std::string log = folder + "/" + log_name;
        log_ = log;
        const std::string listen = "127.0.0.1:" + std::to_string(port);
        const std::string control_address = "127.0.0.1:" + std::to_string(control_port);
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::setpgid(0, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, whatever ends that
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::setenv("EDGE_NAME", "n1", 1);
        ::setenv("EDGE_LISTEN", listen.c_str(), 1);
        ::setenv("EDGE_CONFIG", config_path.c_str(), 1);
        ::setenv("TMPDIR", tmp.c_str(), 1);
        if (control_port)
            ::setenv("EDGE_CONTROL", control_address.c_str(), 1);
        if (!operator_file.empty())
            ::setenv("SILVERRAIL_SETTINGS", operator_file.c_str(), 1);
        ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ~Router() {
        if (!exited())
            ::kill(pid_, SIGKILL);
        while (!exited())
            sleep_ms(5);
    }
    // Whether GET /alive gives 200 within the time.
    bool wait_ready(int port, std::int64_t wait_ms) {
        for (const std::int64_t until = steady_ms() + wait_ms; steady_ms() < until && !exited(); sleep_ms(20))
            if (ask(port, "GET /alive HTTP/1.1\r\nHost: app.svc\r\n\r\n", 500).status() == 200)
                return true;
        return false;
    }
    void signal(int number) {
        if (!exited())
            ::kill(pid_, number);
    }
    bool exited() {
        if (done_)
            return true;
        done_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
        return done_;
    }
    std::string how_it_ended() {
        if (!exited())
            return "runs";
        return WIFSIGNALED(status_) ? "signal " + std::to_string(WTERMSIG(status_))
                                    : "exit code " + std::to_string(WEXITSTATUS(status_));
    }
    pid_t pid() const {
        return pid_;
    }
    // The last lines of its log.
    std::vector<std::string> log_lines(std::size_t most) const {
        std::ifstream in{log_};
        std::vector<std::string> lines;
        for (std::string line; std::getline(in, line);)
            lines.push_back(line);
        if (lines.size() > most)
            lines.erase(lines.begin(), lines.end() - static_cast<std::ptrdiff_t>(most));
        return lines;
    }

private:
    pid_t pid_ = -1;
    int status_ = 0;
    bool done_ = false;
    std::string log_;
};

}  // namespace kit

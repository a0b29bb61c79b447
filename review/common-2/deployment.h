// A small deployment for the cases: caches in the zone edge-1, a parent and the origin, all holding every
// object.
#pragma once

#include "kit.h"

namespace kit {

inline std::string body_of(const std::string& target, std::size_t bytes) {
    std::string body;
    while (body.size() < bytes)
        body += target + '\n';
    body.resize(bytes);
    return body;
}

// A cache that holds every object, or what lies behind it: each read is a hit, each write runs at once.
class Shelf {
public:
    Shelf(std::string id, std::string kind, std::string zone, double weight, std::size_t body_bytes = 2000)
        : body_bytes_(body_bytes),
          server_(id, std::move(kind), std::move(zone), weight,
                  [this, id](const Message& request) { return answer(id, request); }) {}
    Server& server() {
        return server_;
    }
    // From now on it refuses new work unseen.
    void drain() {
        draining_ = true;
    }
    // When each request's first byte came, in ms of the record.
    std::vector<std::int64_t> requests() {
        const std::lock_guard lock{mutex_};
        return requests_;
    }
    bool has_seen(const std::string& id) {
        const std::lock_guard lock{mutex_};
        return ids_.contains(id);
    }

private:
    std::string answer(const std::string& id, const Message& request) {
        {
            const std::lock_guard lock{mutex_};
            requests_.push_back(request.first_ms);
            ids_.insert(request.header("call-id"));
        }
        record.line("%s: asked %s %s, id %s, first byte at %lld%s", id.c_str(), request.method().c_str(),
                    request.target().c_str(), request.header("call-id").c_str(),
                    static_cast<long long>(request.first_ms), draining_ ? ", refuses: it drains" : "");
        if (draining_)
            return http_answer(503, "Not-Begun: 1\r\n", "");
        return http_answer(200,
                           "Tag: 4be0c1927d55a6f3\r\nMade-At: " + std::to_string(unix_ms() - 500) +
                               "\r\nDetail: hit\r\nBackend-Load: inflight:1;util:0.1;x1:0.1;x0:0.7\r\n",
                           body_of(request.target(), body_bytes_));
    }
    std::size_t body_bytes_;
    std::atomic<bool> draining_{false};
    std::mutex mutex_;
    std::vector<std::int64_t> requests_;
    std::set<std::string> ids_;
    Server server_;
};

// Clients that ask one read after another, each on a new connection, for objects drawn from many.
class Readers {
public:
    Readers(int port, int clients, int pause_ms) {
        for (int i = 0; i < clients; ++i)
            threads_.emplace_back(
                [this, port, pause_ms, i] { read(port, pause_ms, static_cast<unsigned>(i)); });
    }
    ~Readers() {
        stop();
    }
    void stop() {
        stop_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> unanswered{0};
    std::atomic<int> taken_unanswered{0};  // of these, written whole to a connection that was accepted

private:
    void read(int port, int pause_ms, unsigned number) {
        unsigned drawn = number * 7919 + 17;
        while (!stop_) {
            drawn = drawn * 1664525 + 1013904223;
            const std::string id = new_id();
            const Answer answer = ask(port,
                                      client_request("GET", "bulk-files", object_id(drawn >> 8), id, 5000,
                                                     static_cast<int>(drawn >> 24), "Reserve-Kb: 400\r\n"),
                                      5600);
            ++asked;
            const int status = answer.status();
            ++(status == 200                    ? served
               : status == 503 || status == 429 ? refused
               : status                         ? failed
                                                : unanswered);
            taken_unanswered += status == 0 && answer.sent_ms != 0 ? 1 : 0;
            record.line("client: id %s answered %d%s", id.c_str(), status,
                        status != 0           ? ""
                        : answer.sent_ms != 0 ? ": the connection ended"
                                              : ": no connection");
            sleep_ms(pause_ms);
        }
    }
    std::atomic<bool> stop_{false};
    std::vector<std::thread> threads_;
};

}  // namespace kit

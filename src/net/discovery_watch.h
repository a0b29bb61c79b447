// Follows discovery: connects, resumes after the last event, and connects anew when it falls silent.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "log/log.h"
#include "net/asio.h"
#include "net/backoff.h"
#include "net/sse.h"

namespace silverrail::net {

class DiscoveryWatch {
public:
    // False: the event can't be read.
    using Take = std::function<bool(std::int64_t no, std::string_view data)>;
    struct Counters {
        std::uint64_t connects = 0;
        std::uint64_t unreadable = 0;  // events that can't be read, each time one came
        std::uint64_t gaps = 0;        // numbers left out, each time it was seen
        std::uint64_t slow = 0;        // connections that were asked and not answered in time
    };
    // A comment comes each second: without a whole line for so long the connection is taken for dead. Single
    // bytes are no sign of life, as a feed that never ends a line tells nothing.
    static constexpr std::chrono::milliseconds kSilence{1800};

    DiscoveryWatch(asio::io_context& io, tcp::endpoint at, std::int64_t last, Take take, Log& log,
                   std::uint64_t seed);
    ~DiscoveryWatch();
    // Told whenever it begins or ceases to be sure that all events come through.
    void when_sure(std::function<void(bool)> told) {
        told_sure_ = std::move(told);
    }
    void start() {
        connect();
    }
    // From now on at another address; the numbers of the events go on.
    void move_to(const tcp::endpoint& at);
    std::int64_t last() const {
        return last_;
    }
    // Connected, or on its way there; else it pauses.
    bool connected() const {
        return link_ != nullptr;
    }
    const Counters& counters() const {
        return counters_;
    }
    // For how long it has not been sure that all events come through; 0 while it is.
    std::chrono::steady_clock::duration unheard_for() const;

private:
    struct Link;
    void connect();
    void request(const std::shared_ptr<Link>& link);
    void answered(const std::shared_ptr<Link>& link);
    void ask_beside(const std::shared_ptr<Link>& link);
    void connect_after_pause();
    void let_go(std::vector<std::shared_ptr<Link>> links);
    void read(const std::shared_ptr<Link>& link);
    void alive(const std::shared_ptr<Link>& link);
    void arm(const std::shared_ptr<Link>& link);
    void again(const std::shared_ptr<Link>& link, const char* why);
    void take(const std::shared_ptr<Link>& link, const SseParser::Event& event);
    bool ask_again(const std::shared_ptr<Link>& link, std::int64_t no, const char* why);
    void sure(bool now);

    asio::io_context& io_;
    tcp::endpoint at_;
    std::int64_t last_;
    Take take_;
    Log& log_;
    asio::steady_timer wait_;
    std::shared_ptr<Link> link_;                     // the one that is read, or is to be; absent: it pauses
    std::vector<std::shared_ptr<Link>> unanswered_;  // asked before that, the longest ago first
    Backoff pause_;
    std::function<void(bool)> told_sure_;
    bool sure_ = false;
    std::chrono::steady_clock::time_point unsure_since_ = std::chrono::steady_clock::now();
    std::int64_t doubted_ = 0;  // the last event that was asked for again; bad twice, it is passed over
    Counters counters_;
};

}  // namespace silverrail::net

// Follows the bulletin: connects, resumes after the last event, and connects anew when it falls silent.
#pragma once

#include <functional>
#include <memory>

#include "log/log.h"
#include "net/asio.h"
#include "net/backoff.h"
#include "net/sse.h"

namespace silverrail::net {

class Bulletin {
public:
    using Take = std::function<void(std::int64_t no, std::string_view data)>;
    // A comment comes each second: past this the connection is taken for dead.
    static constexpr std::chrono::milliseconds kSilence{1800};

    Bulletin(asio::io_context& io, tcp::endpoint at, std::int64_t last, Take take, Log& log,
             std::uint64_t seed);
    ~Bulletin();
    // Told whenever it begins or ceases to be sure that all events come through.
    void when_sure(std::function<void(bool)> told) { told_sure_ = std::move(told); }
    void start() { connect(); }
    // From now on at another address; the numbers of the events go on.
    void move_to(const tcp::endpoint& at);
    std::int64_t last() const { return last_; }

private:
    struct Link;
    void connect();
    void request(const std::shared_ptr<Link>& link);
    void read(const std::shared_ptr<Link>& link);
    void arm(const std::shared_ptr<Link>& link);
    void again(const std::shared_ptr<Link>& link, const char* why);
    void take(const SseParser::Event& event);
    void sure(bool now);

    asio::io_context& io_;
    tcp::endpoint at_;
    std::int64_t last_;
    Take take_;
    Log& log_;
    asio::steady_timer wait_;
    std::shared_ptr<Link> link_;
    Backoff pause_;
    std::function<void(bool)> told_sure_;
    bool sure_ = false;
};

}  // namespace silverrail::net

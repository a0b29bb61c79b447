// Attempts on the wire: a bounded pool of connections to the servers, keyed by the server's id.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>

#include "core/ports.h"
#include "log/log.h"
#include "net/asio.h"

namespace silverrail::net {

struct UpstreamLimits {
    std::size_t sockets = 600;   // open at once, to all servers
    std::size_t waiting = 512;   // attempts that wait for one
    std::size_t idle_each = 64;  // kept open to one server
    // A second answer may follow a good one by some ms, and answers carry no id: a connection is used again
    // only when nothing has come on it for so long.
    std::chrono::nanoseconds rest{std::chrono::milliseconds{20}};
    std::uint64_t answer = 256 * 1024;
    std::uint32_t header = 8 * 1024;
    int interim = 8;  // 1xx answers before the one that counts
    std::chrono::nanoseconds connect_timeout{std::chrono::milliseconds{400}};
    std::chrono::nanoseconds idle{std::chrono::seconds{10}};  // less than the servers' own limit
};

// The request for one attempt, as the servers read it. `oldest`: as found at the first byte.
http::request<http::string_body> server_request(const core::AttemptRequest& order, core::Span oldest,
                                                core::Span left);
// What a server's whole answer means.
core::AttemptResult server_answer(http::response<http::string_body> answer);
core::CacheStatus note_of(std::string_view word);
routing::LoadReport load_of(std::string_view text);

class Upstream : public core::AttemptSender {
public:
    Upstream(asio::io_context& io, UpstreamLimits limits, const core::Clock& clock, Log& log);
    ~Upstream() override;
    void start(core::AttemptRequest order, core::AttemptEvents& events) override;
    void cancel(const core::AttemptKey& key) override;
    void forget(const core::ServerId& server) override;
    // What may be open at once, from now on. Idle connections are closed down to that.
    void limit_sockets(std::size_t most);
    // Closes up to `count` idle connections, longest idle first.
    void shed(std::size_t count);
    std::size_t sockets() const {
        return *open_;
    }
    std::size_t servers() const {
        return servers_.size();
    }

private:
    struct Link;
    struct Attempt;
    struct Server {
        std::list<std::shared_ptr<Link>> idle;  // longest idle first
        bool gone = false;                      // forgotten while connections to it were in use
    };
    void begin(const std::shared_ptr<Attempt>& attempt);
    void connect(const std::shared_ptr<Attempt>& attempt);
    void connected(const std::shared_ptr<Attempt>& attempt, const error_code& error);
    // Opening failed by this machine's own doing: begun anew soon, a few times, then ended as `end` says.
    void open_again(const std::shared_ptr<Attempt>& attempt, const error_code& error,
                    core::AttemptStatus attempt_status);
    void write(const std::shared_ptr<Attempt>& attempt);
    void read(const std::shared_ptr<Attempt>& attempt);
    void on_head(const std::shared_ptr<Attempt>& attempt, const error_code& error);
    void on_answer(const std::shared_ptr<Attempt>& attempt, const error_code& error);
    void unreadable(const std::shared_ptr<Attempt>& attempt, const error_code& error);
    void end(const std::shared_ptr<Attempt>& attempt, core::AttemptResult end);
    void keep(const std::shared_ptr<Attempt>& attempt);
    void watch(const std::shared_ptr<Server>& server, const std::shared_ptr<Link>& link);
    std::shared_ptr<Link> take_idle(const core::ServerId& server);
    bool make_room();
    void serve_waiting();
    void sweep();

    asio::io_context& io_;
    UpstreamLimits limits_;
    const core::Clock& clock_;
    Log& log_;
    asio::steady_timer sweeper_;
    std::map<core::ServerId, std::shared_ptr<Server>> servers_;
    std::map<core::AttemptKey, std::shared_ptr<Attempt>> attempts_;
    std::deque<std::shared_ptr<Attempt>> waiting_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);  // sockets, counted by Link
    bool down_ = false;
};

}  // namespace silverrail::net

// Sends attempts to servers over a bounded pool of keep-alive connections, keyed by server id.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>

#include "core/ports.h"
#include "log/log.h"
#include "net/asio.h"
#include "net/http_exchange.h"

namespace silverrail::net {

struct ConnectionPoolLimits {
    std::size_t connections = 600;     // open at once, to all servers
    std::size_t waiting = 512;         // attempts queued for a connection
    std::size_t idle_per_server = 64;  // idle connections kept open
    // A connection is reused only if nothing has arrived on it for this long. A faulty server may send a
    // second response some ms after a good one, and as responses carry no id, it would be taken for the
    // response to the next request.
    std::chrono::nanoseconds min_idle_before_reuse{std::chrono::milliseconds{20}};
    ResponseLimits response{};
    std::chrono::nanoseconds connect_timeout{std::chrono::milliseconds{400}};
    // Shorter than the servers' own.
    std::chrono::nanoseconds idle_timeout{std::chrono::seconds{10}};
};

class ConnectionPool : public core::AttemptSender {
public:
    // `memory` holds the responses that are being read. All references must outlive the pool.
    ConnectionPool(asio::io_context& io, ConnectionPoolLimits limits, const core::Clock& clock,
                   limits::MemoryBudget& memory, Log& log);
    ~ConnectionPool() override;

    void start(core::AttemptRequest request, core::AttemptEvents& events) override;
    void cancel(const core::AttemptKey& key) override;
    void discard_connections(const core::ServerId& server) override;

    // Changes the limit on open connections, and closes idle ones that exceed it.
    void limit_connections(std::size_t max);
    // Closes up to `count` idle connections, the longest idle first.
    void close_idle(std::size_t count);
    std::size_t connections() const {
        return *open_count_;
    }
    // Servers with connections, idle or in use.
    std::size_t servers() const {
        return servers_.size();
    }

private:
    struct Server;
    struct PooledConnection;
    struct Attempt;
    using AttemptPointer = std::shared_ptr<Attempt>;

    // The stages of an attempt, in order.
    void acquire_connection(const AttemptPointer& attempt);
    void connect(const AttemptPointer& attempt);
    bool open_socket(const AttemptPointer& attempt, const tcp::endpoint& endpoint);
    void start_connect_timeout(const AttemptPointer& attempt);
    void on_connect(const AttemptPointer& attempt, const error_code& error);
    void retry_connect(const AttemptPointer& attempt, const error_code& error,
                       core::AttemptStatus failure_status);
    void send(const AttemptPointer& attempt);
    void on_exchange_done(const AttemptPointer& attempt, HttpExchange::Result result);
    void finish(const AttemptPointer& attempt, core::AttemptResult result);
    void release(const AttemptPointer& attempt);

    // Idle connections.
    void keep_alive(const AttemptPointer& attempt);
    void watch_idle(const std::shared_ptr<Server>& server,
                    const std::shared_ptr<PooledConnection>& connection);
    std::shared_ptr<PooledConnection> take_idle(const core::ServerId& server);
    static void close_longest_idle(Server& server);
    void close_expired();
    void schedule_expiry();

    bool make_room();
    void serve_waiting();

    asio::io_context& io_;
    ConnectionPoolLimits limits_;
    const core::Clock& clock_;
    limits::MemoryBudget& memory_;
    Log& log_;
    asio::steady_timer expiry_timer_;
    std::map<core::ServerId, std::shared_ptr<Server>> servers_;
    std::map<core::AttemptKey, AttemptPointer> attempts_;
    std::deque<AttemptPointer> waiting_;
    std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
    bool destroyed_ = false;
};

}  // namespace silverrail::net

#include "net/connection_pool.h"

#include <algorithm>
#include <array>

#include "config/endpoint.h"

namespace silverrail::net {

namespace {

using core::AttemptResult;
using core::AttemptStatus;
using namespace std::chrono_literals;

// Delays double from the first; all of them together stay under a quarter of a second.
constexpr auto kFirstConnectRetryDelay = 5ms;
constexpr int kMaxConnectRetries = 5;

constexpr auto kExpiryInterval = 1s;

// Idle connections closed when the process has run out of descriptors.
constexpr std::size_t kDescriptorsToFree = 16;

// This machine lacks a descriptor, buffer, port or route for the moment; not the server's fault.
constexpr std::array kLocalErrors{EMFILE, ENFILE,        ENOBUFS,     ENOMEM,   EAGAIN,
                                  EINTR,  EADDRNOTAVAIL, ENETUNREACH, ENETDOWN, EPERM};

bool is_local_error(const error_code& error) {
    if (error.category() != boost::system::system_category())
        return false;
    return std::find(kLocalErrors.begin(), kLocalErrors.end(), error.value()) != kLocalErrors.end();
}

bool is_malformed_response(const error_code& error) {
    const bool from_parser = error.category() == http::make_error_code(http::error::bad_version).category();
    return from_parser && error != http::error::end_of_stream && error != http::error::partial_message;
}

std::optional<tcp::endpoint> parse_address(const std::string& text) {
    const auto address = config::parse_endpoint(text);
    if (!address)
        return std::nullopt;
    error_code error;
    const auto host = asio::ip::make_address(address->host, error);
    if (error)
        return std::nullopt;
    return tcp::endpoint{host, address->port};
}

}  // namespace

struct ConnectionPool::Server {
    std::list<std::shared_ptr<PooledConnection>> idle;  // longest idle first
    bool discarded = false;                             // while connections to it were in use
};

struct ConnectionPool::PooledConnection : ServerConnection {
    using ServerConnection::ServerConnection;
    std::shared_ptr<Server> server;  // that it was opened to; null while it is idle there
    core::Time idle_since{};
    bool idle = false;
};

struct ConnectionPool::Attempt {
    Attempt(asio::io_context& io, core::AttemptRequest o, core::AttemptEvents& e)
        : order(std::move(o)), events(&e), connect_timer(io) {}
    core::AttemptRequest order;
    core::AttemptEvents* events;
    asio::steady_timer connect_timer;  // the connect's timeout, or the delay before the next one
    int connect_retries = 0;
    std::shared_ptr<PooledConnection> connection;
    std::shared_ptr<HttpExchange> exchange;  // from the first byte on: from then on it may run
    bool finished = false;
};

ConnectionPool::ConnectionPool(asio::io_context& io, ConnectionPoolLimits limits, const core::Clock& clock,
                               Log& log)
    : io_(io), limits_(limits), clock_(clock), log_(log), expiry_timer_(io) {
    close_expired();
}

ConnectionPool::~ConnectionPool() {
    destroyed_ = true;
    for (auto& [key, attempt] : attempts_)
        release(attempt);
    for (auto& [id, server] : servers_)
        for (auto& connection : server->idle)
            connection->close();
}

void ConnectionPool::start(core::AttemptRequest order, core::AttemptEvents& events) {
    const core::AttemptKey key = order.key;
    auto attempt = std::make_shared<Attempt>(io_, std::move(order), events);
    attempts_.emplace(key, attempt);
    acquire_connection(attempt);
}

// An idle connection, or a new one, or the next that becomes free.
void ConnectionPool::acquire_connection(const AttemptPointer& attempt) {
    attempt->connection = take_idle(attempt->order.target);
    if (attempt->connection)
        return send(attempt);
    if (make_room())
        return connect(attempt);
    if (waiting_.size() < limits_.waiting) {
        waiting_.push_back(attempt);
        return;
    }
    log_.line("pool-full", "%zu sockets, %zu wait", *open_count_, waiting_.size());
    finish(attempt, {.attempt_status = AttemptStatus::not_sent});
}

void ConnectionPool::connect(const AttemptPointer& attempt) {
    const auto endpoint = parse_address(attempt->order.address);
    if (!endpoint) {
        log_.line("bad-address", "server %s at %s", attempt->order.target.address.c_str(),
                  attempt->order.address.c_str());
        return finish(attempt, {.attempt_status = AttemptStatus::not_sent});
    }
    attempt->connection = std::make_shared<PooledConnection>(io_, open_count_);
    auto& server = servers_[attempt->order.target];
    if (!server)
        server = std::make_shared<Server>();
    attempt->connection->server = server;
    if (!open_socket(attempt, *endpoint))
        return;
    start_connect_timeout(attempt);
    attempt->connection->socket.async_connect(
        *endpoint, [this, attempt, connection = attempt->connection](const error_code& error) {
            on_connect(attempt, error);
        });
}

// Returns false if there is no descriptor; the attempt is then retried or has ended.
bool ConnectionPool::open_socket(const AttemptPointer& attempt, const tcp::endpoint& endpoint) {
    auto& socket = attempt->connection->socket;
    error_code error;
    socket.open(endpoint.protocol(), error);
    if (error) {
        log_.line("no-descriptors", "connect: %s", error.message().c_str());
        close_idle(kDescriptorsToFree);
        socket.open(endpoint.protocol(), error);
    }
    if (error) {
        retry_connect(attempt, error, AttemptStatus::not_sent);
        return false;
    }
    socket.set_option(tcp::no_delay(true), error);
    return true;
}

void ConnectionPool::start_connect_timeout(const AttemptPointer& attempt) {
    attempt->connect_timer.expires_after(limits_.connect_timeout);
    attempt->connect_timer.async_wait([this, attempt](const error_code& error) {
        const bool connecting = attempt->connection && !attempt->exchange;
        if (error || attempt->finished || !connecting)
            return;
        finish(attempt, {.attempt_status = AttemptStatus::connect_failed});
    });
}

void ConnectionPool::on_connect(const AttemptPointer& attempt, const error_code& error) {
    if (attempt->finished)
        return;
    attempt->connect_timer.cancel();
    if (!error)
        return send(attempt);
    if (is_local_error(error))
        return retry_connect(attempt, error, AttemptStatus::connect_failed);
    if (error != asio::error::connection_refused && error != asio::error::operation_aborted)
        log_.line("connect-failed", "server %s: %s", attempt->order.target.address.c_str(),
                  error.message().c_str());
    finish(attempt, {.attempt_status = AttemptStatus::connect_failed});
}

// After a local error: connects again with backoff, up to a number of times and the attempt's deadline.
void ConnectionPool::retry_connect(const AttemptPointer& attempt, const error_code& error,
                                   AttemptStatus status_if_given_up) {
    log_.line("connect-local", "%s to %s: %s", attempt->order.client_request->trace_id.c_str(),
              attempt->order.target.address.c_str(), error.message().c_str());
    const auto delay = kFirstConnectRetryDelay * (1 << attempt->connect_retries);
    const bool in_time = clock_.now() + delay < attempt->order.deadline;
    if (++attempt->connect_retries > kMaxConnectRetries || !in_time)
        return finish(attempt, {.attempt_status = status_if_given_up});
    attempt->connection->close();
    attempt->connection = nullptr;
    attempt->connect_timer.expires_after(delay);
    attempt->connect_timer.async_wait([this, attempt](const error_code& e) {
        if (!e && !attempt->finished)
            acquire_connection(attempt);
    });
}

void ConnectionPool::send(const AttemptPointer& attempt) {
    const auto max_age = attempt->events->before_first_byte(attempt->order.key);
    if (!max_age) {
        if (!attempt->finished)
            finish(attempt, {.attempt_status = AttemptStatus::not_sent});
        return;
    }
    HttpExchange::Handlers handlers{.written = [attempt] { attempt->events->written(); },
                                    // Weak, as the attempt owns the exchange.
                                    .done =
                                        [this, weak = std::weak_ptr{attempt}](HttpExchange::Result result) {
                                            if (const auto alive = weak.lock())
                                                on_exchange_done(alive, std::move(result));
                                        }};
    attempt->exchange =
        std::make_shared<HttpExchange>(attempt->connection, limits_.response, std::move(handlers));
    const core::Span remaining = attempt->order.deadline - clock_.now();
    const bool client_has_copy = !attempt->order.client_request->client_tag.empty();
    attempt->exchange->start(server_request(attempt->order, *max_age, remaining), client_has_copy);
}

// After an error the request may have run, so it is never sent again from here, not even if the connection
// had gone stale.
void ConnectionPool::on_exchange_done(const AttemptPointer& attempt, HttpExchange::Result result) {
    if (result.error) {
        if (is_malformed_response(result.error))
            log_.line("bad-answer", "server %s: %s", attempt->order.target.address.c_str(),
                      result.error.message().c_str());
        return finish(attempt, {.attempt_status = AttemptStatus::reset});
    }
    if (result.reusable)
        keep_alive(attempt);
    finish(attempt, attempt_end(std::move(result.response)));
}

void ConnectionPool::finish(const AttemptPointer& attempt, AttemptResult end) {
    if (attempt->finished)
        return;
    release(attempt);
    attempts_.erase(attempt->order.key);
    attempt->events->ended(attempt->order.key, std::move(end));
    serve_waiting();
}

void ConnectionPool::cancel(const core::AttemptKey& key) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end())
        return;
    const auto attempt = at->second;
    attempts_.erase(at);
    release(attempt);
    std::erase(waiting_, attempt);
    serve_waiting();
}

// Ends everything of the attempt that is under way, and its connection unless that was kept.
void ConnectionPool::release(const AttemptPointer& attempt) {
    attempt->finished = true;
    attempt->connect_timer.cancel();
    if (attempt->exchange)
        attempt->exchange->cancel();
    attempt->exchange = nullptr;
    if (attempt->connection)
        attempt->connection->close();
    attempt->connection = nullptr;
}

// Returns the connection to the pool, unless the server has gone or was restarted meanwhile.
void ConnectionPool::keep_alive(const AttemptPointer& attempt) {
    const auto connection = std::exchange(attempt->connection, nullptr);
    const auto server = std::exchange(connection->server, nullptr);
    const bool unexpected_bytes = connection->buffer.size() > 0;
    if (server->discarded || server->idle.size() >= limits_.idle_per_server || unexpected_bytes) {
        connection->close();
        return;
    }
    connection->buffer.clear();
    connection->idle_since = clock_.now();
    connection->idle = true;
    server->idle.push_back(connection);
    watch_idle(server, connection);
}

// Whatever comes on an idle connection, most often the server's close, ends it.
void ConnectionPool::watch_idle(const std::shared_ptr<Server>& server,
                                const std::shared_ptr<PooledConnection>& connection) {
    connection->socket.async_wait(tcp::socket::wait_read,
                                  [this, weak_server = std::weak_ptr{server},
                                   weak = std::weak_ptr{connection}](const error_code& error) {
                                      if (destroyed_ || error == asio::error::operation_aborted)
                                          return;
                                      const auto idle = weak.lock();
                                      if (!idle || !idle->idle)
                                          return;
                                      idle->close();
                                      if (const auto owner = weak_server.lock())
                                          owner->idle.remove(idle);
                                      serve_waiting();
                                  });
}

// The most recently used of those that were quiet for long enough: the longer one is idle, the likelier its
// server is about to close it.
std::shared_ptr<ConnectionPool::PooledConnection> ConnectionPool::take_idle(const core::ServerId& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end())
        return nullptr;
    auto& idle = at->second->idle;
    const core::Time quiet_since = clock_.now() - limits_.quiet_before_reuse;
    while (true) {
        const auto found = std::find_if(idle.rbegin(), idle.rend(),
                                        [&](const auto& c) { return c->idle_since <= quiet_since; });
        if (found == idle.rend())
            return nullptr;
        const auto connection = std::move(*found);
        idle.erase(std::next(found).base());
        connection->idle = false;
        error_code ignored;
        connection->socket.cancel(ignored);  // the watch
        if (!connection->stale()) {
            connection->server = at->second;
            return connection;
        }
        connection->close();
    }
}

void ConnectionPool::discard_connections(const core::ServerId& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end())
        return;
    const auto server = at->second;
    servers_.erase(at);
    server->discarded = true;
    for (auto& connection : std::exchange(server->idle, {})) {
        connection->idle = false;
        connection->close();
    }
    serve_waiting();
}

bool ConnectionPool::make_room() {
    if (*open_count_ >= limits_.connections)
        close_idle(1);
    return *open_count_ < limits_.connections;
}

void ConnectionPool::limit_connections(std::size_t max) {
    limits_.connections = max;
    if (*open_count_ > max)
        close_idle(*open_count_ - max);
    serve_waiting();
}

void ConnectionPool::close_idle(std::size_t count) {
    for (; count > 0; --count) {
        Server* longest = nullptr;
        for (auto& [id, server] : servers_)
            if (!server->idle.empty() &&
                (!longest || server->idle.front()->idle_since < longest->idle.front()->idle_since))
                longest = server.get();
        if (!longest)
            return;
        close_longest_idle(*longest);
    }
}

void ConnectionPool::close_longest_idle(Server& server) {
    server.idle.front()->idle = false;
    server.idle.front()->close();
    server.idle.pop_front();
}

void ConnectionPool::serve_waiting() {
    while (!waiting_.empty() && make_room()) {
        const auto attempt = waiting_.front();
        waiting_.pop_front();
        if (!attempt->finished)
            acquire_connection(attempt);
    }
}

void ConnectionPool::close_expired() {
    const core::Time now = clock_.now();
    for (auto& [id, server] : servers_)
        while (!server->idle.empty() && server->idle.front()->idle_since + limits_.idle_timeout < now)
            close_longest_idle(*server);
    // A server with a connection in use has a second owner.
    std::erase_if(servers_, [](const auto& entry) {
        return entry.second->idle.empty() && entry.second.use_count() == 1;
    });
    schedule_expiry();
}

void ConnectionPool::schedule_expiry() {
    expiry_timer_.expires_after(kExpiryInterval);
    expiry_timer_.async_wait([this](const error_code& error) {
        if (!error)
            close_expired();
    });
}

}  // namespace silverrail::net

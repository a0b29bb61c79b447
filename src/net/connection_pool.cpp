#include "net/connection_pool.h"

#include <algorithm>
#include <array>

#include "config/endpoint.h"

namespace silverrail::net {

namespace {

using core::AttemptResult;
using core::AttemptStatus;
using namespace std::chrono_literals;

// The delays double from the first one; their sum stays below a quarter of a second.
constexpr auto kFirstConnectRetryDelay = 5ms;
constexpr int kMaxConnectRetries = 5;

constexpr auto kExpiryInterval = 1s;

// Number of idle connections to close when the process has run out of descriptors.
constexpr std::size_t kDescriptorsToFree = 16;

// The local host temporarily lacks a descriptor, buffer, port or route; the server has not failed.
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

std::optional<tcp::endpoint> parse_address(const std::string& address) {
    const auto parsed = config::parse_endpoint(address);
    if (!parsed)
        return std::nullopt;
    error_code error;
    const auto host = asio::ip::make_address(parsed->host, error);
    if (error)
        return std::nullopt;
    return tcp::endpoint{host, parsed->port};
}

}  // namespace

struct ConnectionPool::Server {
    std::list<std::shared_ptr<PooledConnection>> idle;  // longest idle first
    bool discarded = false;  // connections still in use are closed instead of returned to the pool
};

struct ConnectionPool::PooledConnection : ServerConnection {
    using ServerConnection::ServerConnection;
    std::shared_ptr<Server> server;  // the server it is connected to; null while it is in Server::idle
    core::Time idle_since{};
    bool idle = false;
};

struct ConnectionPool::Attempt {
    Attempt(asio::io_context& io, core::AttemptRequest r, core::AttemptEvents& e)
        : request(std::move(r)), events(&e), connect_timer(io) {}
    core::AttemptRequest request;
    core::AttemptEvents* events;
    asio::steady_timer connect_timer;  // the connect timeout, or the delay before the next connect
    int connect_retries = 0;
    std::shared_ptr<PooledConnection> connection;
    // Set when the first byte may be sent: from then on the server may run the request.
    std::shared_ptr<HttpExchange> exchange;
    bool finished = false;
};

ConnectionPool::ConnectionPool(asio::io_context& io, ConnectionPoolLimits limits, const core::Clock& clock,
                               limits::MemoryBudget& memory, Log& log)
    : io_(io), limits_(limits), clock_(clock), memory_(memory), log_(log), expiry_timer_(io) {
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

void ConnectionPool::start(core::AttemptRequest request, core::AttemptEvents& events) {
    const core::AttemptKey key = request.key;
    auto attempt = std::make_shared<Attempt>(io_, std::move(request), events);
    attempts_.emplace(key, attempt);
    acquire_connection(attempt);
}

// Uses an idle connection, opens a new one, or queues the attempt until a connection becomes free.
void ConnectionPool::acquire_connection(const AttemptPointer& attempt) {
    attempt->connection = take_idle(attempt->request.target);
    if (attempt->connection)
        return send(attempt);
    if (make_room())
        return connect(attempt);
    if (waiting_.size() < limits_.waiting) {
        waiting_.push_back(attempt);
        return;
    }
    log_.line("pool-full", "%zu connections open, %zu attempts queued", *open_count_, waiting_.size());
    finish(attempt, {.attempt_status = AttemptStatus::not_sent});
}

void ConnectionPool::connect(const AttemptPointer& attempt) {
    const auto endpoint = parse_address(attempt->request.address);
    if (!endpoint) {
        log_.line("bad-address", "server %s has the invalid address \"%s\"",
                  attempt->request.target.address.c_str(), attempt->request.address.c_str());
        return finish(attempt, {.attempt_status = AttemptStatus::not_sent});
    }
    attempt->connection = std::make_shared<PooledConnection>(io_, open_count_);
    auto& server = servers_[attempt->request.target];
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

// Returns false if there is no descriptor; the connect has then been scheduled again or the attempt has
// ended.
bool ConnectionPool::open_socket(const AttemptPointer& attempt, const tcp::endpoint& endpoint) {
    auto& socket = attempt->connection->socket;
    error_code error;
    socket.open(endpoint.protocol(), error);
    if (error) {
        log_.line("no-descriptors", "cannot open a socket to a server: %s", error.message().c_str());
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
        log_.line("connect-failed", "server %s: %s", attempt->request.target.address.c_str(),
                  error.message().c_str());
    finish(attempt, {.attempt_status = AttemptStatus::connect_failed});
}

// After a local error, connects again with backoff, at most kMaxConnectRetries times and not past the
// attempt's deadline.
void ConnectionPool::retry_connect(const AttemptPointer& attempt, const error_code& error,
                                   AttemptStatus failure_status) {
    log_.line("connect-local", "request %s, connect to server %s: %s",
              attempt->request.client_request->trace_id.c_str(), attempt->request.target.address.c_str(),
              error.message().c_str());
    const auto delay = kFirstConnectRetryDelay * (1 << attempt->connect_retries);
    const bool in_time = clock_.now() + delay < attempt->request.deadline;
    if (++attempt->connect_retries > kMaxConnectRetries || !in_time)
        return finish(attempt, {.attempt_status = failure_status});
    attempt->connection->close();
    attempt->connection = nullptr;
    attempt->connect_timer.expires_after(delay);
    attempt->connect_timer.async_wait([this, attempt](const error_code& e) {
        if (!e && !attempt->finished)
            acquire_connection(attempt);
    });
}

void ConnectionPool::send(const AttemptPointer& attempt) {
    const auto max_age = attempt->events->before_first_byte(attempt->request.key);
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
        std::make_shared<HttpExchange>(attempt->connection, limits_.response, std::move(handlers), memory_);
    const core::Span remaining = attempt->request.deadline - clock_.now();
    attempt->exchange->start(server_request(attempt->request, *max_age, remaining),
                             attempt->request.client_request);
}

// After an error the server may have run the request, so it is never sent again here, not even if the
// connection had become stale.
void ConnectionPool::on_exchange_done(const AttemptPointer& attempt, HttpExchange::Result result) {
    if (result.error) {
        if (is_malformed_response(result.error))
            log_.line("bad-answer", "invalid response from server %s: %s",
                      attempt->request.target.address.c_str(), result.error.message().c_str());
        return finish(attempt, {.attempt_status = AttemptStatus::reset});
    }
    if (result.reusable)
        keep_alive(attempt);
    finish(attempt, attempt_result(std::move(result.response)));
}

void ConnectionPool::finish(const AttemptPointer& attempt, AttemptResult result) {
    if (attempt->finished)
        return;
    release(attempt);
    attempts_.erase(attempt->request.key);
    attempt->events->ended(attempt->request.key, std::move(result));
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

// Cancels the attempt's pending operations, and closes its connection unless keep_alive() has taken it.
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

// Returns the connection to the pool, unless the server has been removed or restarted meanwhile.
void ConnectionPool::keep_alive(const AttemptPointer& attempt) {
    const auto connection = std::exchange(attempt->connection, nullptr);
    const auto server = std::exchange(connection->server, nullptr);
    const bool unexpected_bytes = connection->buffer.size() > 0;
    if (server->discarded || server->idle.size() >= limits_.idle_per_server || unexpected_bytes) {
        connection->close();
        return;
    }
    connection->buffer.clear();
    connection->buffer.shrink_to_fit();
    connection->idle_since = clock_.now();
    connection->idle = true;
    server->idle.push_back(connection);
    watch_idle(server, connection);
}

// Closes an idle connection when anything arrives on it, most often the server's close.
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

// Takes the most recently used of the connections that have been idle for long enough: the longer a
// connection has been idle, the likelier its server is about to close it.
std::shared_ptr<ConnectionPool::PooledConnection> ConnectionPool::take_idle(const core::ServerId& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end())
        return nullptr;
    auto& idle = at->second->idle;
    const core::Time idle_since_at_latest = clock_.now() - limits_.min_idle_before_reuse;
    while (true) {
        const auto found = std::find_if(idle.rbegin(), idle.rend(),
                                        [&](const auto& c) { return c->idle_since <= idle_since_at_latest; });
        if (found == idle.rend())
            return nullptr;
        const auto connection = std::move(*found);
        idle.erase(std::next(found).base());
        connection->idle = false;
        error_code ignored;
        connection->socket.cancel(ignored);  // ends watch_idle()
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
    // A connection in use holds another reference to its server.
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

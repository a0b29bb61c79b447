#include "net/http_server.h"

#include <optional>
#include <utility>

namespace silverrail::net {

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits, Handler handler,
                       Log& log)
    : listener_(io, at, limits.port, log),
      loop_monitor_(io),
      limits_(limits),
      handler_(std::move(handler)),
      log_(log) {}

HttpServer::~HttpServer() {
    for (auto& [session, weak] : std::exchange(sessions_, {}))
        if (const auto alive = weak.lock())
            alive->close(CloseReason::server_destroyed);
}

void HttpServer::admit(tcp::socket socket) {
    if (sessions_.size() >= limits_.connections && !evict_connection()) {
        log_.line("too-many-clients", "%zu client connections open, closing a new one", sessions_.size());
        return;  // the socket's destructor closes the connection
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<HttpSession>(std::move(socket), *this);
    sessions_.emplace(session.get(), session);
    session->start();
}

// Evicts a connection of the first eviction class that is present, and of these the one without progress for
// longest. Returns false if all connections have an open request.
bool HttpServer::evict_connection() {
    std::shared_ptr<HttpSession> victim;
    std::optional<limits::EvictionPriority> victim_class;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [session, weak] : sessions_) {
        const auto alive = weak.lock();
        const auto candidate_class = alive ? limits::eviction_priority(alive->activity(now)) : std::nullopt;
        if (!candidate_class || (victim && std::pair{*victim_class, victim->since()} <=
                                               std::pair{*candidate_class, alive->since()}))
            continue;
        victim = alive;
        victim_class = candidate_class;
    }
    if (!victim)
        return false;
    victim->close(CloseReason::evicted);
    return true;
}

void HttpServer::limit_connections(std::size_t max) {
    limits_.connections = max;
    while (sessions_.size() > max && evict_connection()) {}
}

void HttpServer::stop_accepting() {
    accepting_stopped_ = true;
    listener_.stop();
}

void HttpServer::stop() {
    if (std::exchange(stopping_, true))
        return;
    stop_accepting();
    auto sessions = sessions_;
    for (auto& [session, weak] : sessions)
        if (const auto alive = weak.lock())
            alive->close_if_idle();
}

}  // namespace silverrail::net

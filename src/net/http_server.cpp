#include "net/http_server.h"

#include <optional>
#include <utility>

namespace silverrail::net {

namespace {
// A client that writes without interruption has sent its body by then, so that an older incomplete request
// is the one of a slow client.
constexpr std::chrono::milliseconds kUsualBodyTime{500};
}  // namespace

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits,
                       FieldNames stored_fields, Handler handler, limits::MemoryBudget& memory, Log& log)
    : listener_(io, at, limits.port, log),
      loop_monitor_(io),
      limits_(limits),
      stored_fields_(stored_fields),
      handler_(std::move(handler)),
      memory_(memory),
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

// Reserves memory for the body of the session's request, at the cost of the requests of slow clients.
// Returns false if there is none.
bool HttpServer::reserve_for_body(const HttpSession& session, limits::MemoryReservation& reservation,
                                  std::size_t bytes) {
    while (!reservation.try_resize(bytes)) {
        const auto oldest = oldest_incomplete_body();
        const bool from_slow_client =
            oldest && oldest->request_began() < std::chrono::steady_clock::now() - kUsualBodyTime;
        if (!from_slow_client || oldest.get() == &session) {
            ++counters_.bodies_discarded;
            reservation.resize(0);
            return false;
        }
        discard_body(*oldest);
    }
    return true;
}

std::shared_ptr<HttpSession> HttpServer::oldest_incomplete_body() const {
    std::shared_ptr<HttpSession> oldest;
    for (const auto& [session, weak] : sessions_) {
        const auto alive = weak.lock();
        if (!alive || alive->incomplete_body_bytes() == 0)
            continue;
        if (!oldest || alive->request_began() < oldest->request_began())
            oldest = alive;
    }
    return oldest;
}

void HttpServer::discard_body(HttpSession& session) {
    log_.line("body-discarded",
              "%zu bytes of an incomplete request, as %zu of %zu bytes of memory are in use",
              session.incomplete_body_bytes(), memory_.in_use(), memory_.capacity());
    ++counters_.bodies_discarded;
    session.discard_body();
}

void HttpServer::release_memory(std::size_t bytes) {
    while (memory_.excess(limits::MemoryUse::request_bodies) > 0) {
        const auto oldest = oldest_incomplete_body();
        if (!oldest)
            break;
        discard_body(*oldest);
    }
    const auto stalled_since = std::chrono::steady_clock::now() - limits_.write_stall_without_memory;
    while (memory_.available() < bytes) {
        const auto longest = longest_stalled_writer();
        if (!longest || *longest->response_progress() > stalled_since)
            break;
        longest->close(CloseReason::write_stalled);
    }
}

std::shared_ptr<HttpSession> HttpServer::longest_stalled_writer() const {
    std::shared_ptr<HttpSession> longest;
    for (const auto& [session, weak] : sessions_) {
        const auto alive = weak.lock();
        if (!alive || !alive->response_progress())
            continue;
        if (!longest || *alive->response_progress() < *longest->response_progress())
            longest = alive;
    }
    return longest;
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

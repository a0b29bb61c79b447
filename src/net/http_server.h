// The HTTP/1.1 server for clients: one request at a time on a connection, bounded in bytes, time and number.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "core/types.h"
#include "limits/connection_eviction.h"
#include "log/log.h"
#include "net/asio.h"
#include "net/event_loop_monitor.h"
#include "net/listener.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpLimits {
    std::uint32_t header = 8U * 1024;  // bytes
    std::uint64_t body = 64UL * 1024;  // bytes
    std::size_t connections = 400;
    // A client that cannot get a request out must see the connection end within 3 s of connecting.
    std::chrono::milliseconds first_request_timeout{2'500};  // from connecting to the request's last byte
    std::chrono::milliseconds request_timeout{2'500};        // from a later request's first byte to its last
    // Bytes that have arrived by the end of such a timeout, but were not read yet, are still read.
    std::chrono::milliseconds unread_grace{50};
    std::size_t read_ahead = 8UL * 1024;                      // bytes read behind the open request
    std::chrono::milliseconds disconnect_check_interval{40};  // once that much has been read
    std::chrono::milliseconds write_stall_timeout{6'000};     // without any progress of a response
    std::chrono::milliseconds write_timeout{60'000};          // for a whole response
    std::chrono::milliseconds linger_timeout{500};            // for reading on after the last response
    std::size_t max_linger_bytes = 1UL << 20;
    Listener::Port port = Listener::Port::exclusive;
};

class HttpServer;

// Why a client's connection was closed.
enum class CloseReason : std::uint8_t {
    answered_last,  // after a response that was announced as the last
    client_left,
    broken,         // an error of the connection
    idle_end,       // no request was open at the process's shutdown
    silent,         // nothing arrived in time
    slow_request,   // only a part of a request arrived in time
    evicted,        // to make room for another connection
    unreadable,     // not HTTP, or over a limit
    write_stalled,  // the client did not read its response
    shut_down,      // with the server itself
    count_
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::count_);
std::string_view name_of(CloseReason reason);

struct HttpCounters {
    std::array<std::uint64_t, kCloseReasons> closed{};
    std::uint64_t read_ahead_full = 0;               // open requests with the whole read-ahead behind them
    std::uint64_t disconnected_before_handling = 0;  // requests whose client had gone when they were complete
    // Violations: an open request whose connection was closed unanswered while its client was there; a second
    // response to one request.
    std::uint64_t closed_unanswered = 0;
    std::uint64_t duplicate_responses = 0;
    std::uint64_t violations() const {
        return closed_unanswered + duplicate_responses;
    }
};

// One client connection. It lives while its operations do.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(tcp::socket socket, HttpServer& server);
    void start();
    // The client's address; empty if it had gone before the connection was accepted.
    const core::ClientAddress& client() const {
        return client_;
    }
    // The one response to the open request; ignored once the client has gone.
    void respond(HttpResponse response);
    // Called once if the client disconnects before its response.
    void when_disconnected(std::function<void()> action) {
        on_disconnected_ = std::move(action);
    }
    // The earliest moment at which the last byte of the open request can have arrived.
    core::Time arrived() const {
        return arrived_;
    }
    // Whether the client has closed or reset the connection, as the system says now.
    bool client_left();
    void close(CloseReason reason);
    void close_if_idle();

    // For the choice of a connection to evict.
    limits::ConnectionActivity activity(std::chrono::steady_clock::time_point now);
    std::chrono::steady_clock::time_point since() const {
        return since_;
    }

private:
    enum class State { reading, open, writing, lingering, closed };
    using Limit = std::chrono::milliseconds;
    void read();
    void on_first_byte();
    void on_head(const error_code& error, std::size_t consumed);
    void on_read(const error_code& error, std::size_t consumed);
    void on_unreadable(const error_code& error);
    void linger(CloseReason reason);
    void end_linger() {
        close(CloseReason::answered_last);
    }
    void write_stalled() {
        close(CloseReason::write_stalled);
    }
    core::Time arrival(std::size_t consumed) const;
    void discard();
    void set_timeout(Limit limit, void (HttpSession::*action)());  // replaces the one before
    void on_request_timeout();
    void check_for_disconnect();
    void send_final_error(http::status status, CloseReason reason);
    void write_some();
    void on_response_written();
    bool nothing_received();
    bool has_pipelined_bytes();
    void read_pipelined(core::Time since);
    std::size_t bytes_received();
    void watch_for_disconnect();
    void on_readable(const error_code& error);
    void on_disconnect();

    TcpStream socket_;
    core::ClientAddress client_;
    HttpServer& server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;
    std::optional<http::response_serializer<http::string_body>> serializer_;
    std::function<void()> on_disconnected_;
    asio::steady_timer timeout_;
    State state_ = State::reading;
    // When it was opened, began to respond, had responded, began to linger, or last made progress.
    std::chrono::steady_clock::time_point since_;
    std::size_t bytes_seen_ = 0;  // of its request, when standing() looked last
    std::uint64_t timeouts_set_ = 0;
    std::size_t discarded_ = 0;
    std::size_t buffered_before_ = 0;  // bytes of the request when its reading began
    core::Time buffered_since_{};      // the earliest moment at which they can have arrived
    // Since when bytes may have waited in the socket behind a full read-ahead, until it is found empty.
    std::optional<core::Time> unread_since_;
    core::Time arrived_{};
    std::optional<CloseReason> close_reason_;
    bool read_after_timeout_ = false;  // the grace for unread bytes has been given
    bool keep_alive_ = false;
    bool first_request_ = true;  // no request has been complete yet
};

class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpSession>, HttpRequest)>;

    // Binds at once; throws boost::system::system_error if it cannot.
    HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits, Handler handler, Log& log);
    ~HttpServer();
    void start() {
        listener_.start([this](tcp::socket socket) { admit(std::move(socket)); });
    }
    // Changes the limit on open connections; those without a request are evicted down to it.
    void limit_connections(std::size_t most);
    // Accepts what is in the backlog and nothing more; each open connection ends with its next response.
    void stop_accepting();
    // Graceful shutdown: stops accepting, closes idle connections, and others after their response.
    void stop();
    tcp::endpoint local() const {
        return listener_.local();
    }
    // No connection is open and none can come.
    bool done() const {
        return listener_.closed() && sessions_.empty();
    }
    const Listener::Counters& listener_counters() const {
        return listener_.counters();
    }
    const HttpCounters& counters() const {
        return counters_;
    }
    const EventLoopMonitor& event_loop() const {
        return loop_monitor_;
    }
    std::size_t connections() const {
        return sessions_.size();
    }
    // Called when the process runs out of descriptors, to free some.
    void when_out_of_descriptors(std::function<void()> action) {
        listener_.when_out_of_descriptors(std::move(action));
    }

private:
    friend class HttpSession;
    void admit(tcp::socket socket);
    bool evict_connection();

    Listener listener_;
    EventLoopMonitor loop_monitor_;
    HttpCounters counters_;
    HttpLimits limits_;
    Handler handler_;
    Log& log_;
    std::map<HttpSession*, std::weak_ptr<HttpSession>> sessions_;
    std::array<char, 16UL * 1024> discarded_{};  // sink of what is read while lingering
    bool accepting_stopped_ = false;
    bool stopping_ = false;
};

}  // namespace silverrail::net

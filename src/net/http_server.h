// The HTTP/1.1 server for clients. It handles one request at a time on a connection, and limits bytes, times
// and the number of connections.
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
#include "net/parse_buffer.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpLimits {
    std::uint32_t header = 8U * 1024;  // bytes
    std::uint64_t body = 64UL * 1024;  // bytes
    // Bytes received and not parsed yet. Bounds a chunk's extensions and trailers too, which are parsed only
    // once complete. Must not be less than `header` and `read_ahead`.
    std::size_t unparsed = 16UL * 1024;
    std::size_t connections = 400;
    // A client that fails to send a request must see the connection closed within 3 s of connecting.
    std::chrono::milliseconds first_request_timeout{2'500};  // from connecting to the request's last byte
    std::chrono::milliseconds request_timeout{2'500};        // from a later request's first byte to its last
    // Added to such a timeout to read bytes that have arrived but were not read yet.
    std::chrono::milliseconds unread_grace{50};
    std::size_t read_ahead = 8UL * 1024;                      // bytes read after the open request
    std::chrono::milliseconds disconnect_check_interval{40};  // while the read-ahead is full
    std::chrono::milliseconds write_stall_timeout{6'000};     // without any progress in writing a response
    std::chrono::milliseconds write_timeout{60'000};          // for a whole response
    std::chrono::milliseconds linger_timeout{500};            // for discarding input after the last response
    std::size_t max_linger_bytes = 1UL << 20;
    Listener::Port port = Listener::Port::exclusive;
};

class HttpServer;

// Why a client's connection was closed.
enum class CloseReason : std::uint8_t {
    final_response_sent,  // after a response that was announced as the last
    client_disconnected,
    connection_error,
    idle_at_shutdown,   // no request was open at the process's shutdown
    no_request,         // nothing arrived in time
    slow_request,       // only a part of a request arrived in time
    evicted,            // to make room for another connection
    malformed_request,  // not HTTP, or over a limit
    write_stalled,      // the client did not read its response
    server_destroyed,
    count_
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::count_);
// The reason's name in counters.
std::string_view name_of(CloseReason reason);

struct HttpCounters {
    std::array<std::uint64_t, kCloseReasons> closed{};
    std::uint64_t read_ahead_full = 0;               // open requests after which the read-ahead filled up
    std::uint64_t disconnected_before_handling = 0;  // requests whose client had left when they were complete
    // Violations: a connection closed without a response to its open request although the client had not
    // disconnected; a second response to one request.
    std::uint64_t closed_unanswered = 0;
    std::uint64_t duplicate_responses = 0;
    std::uint64_t violations() const {
        return closed_unanswered + duplicate_responses;
    }
};

// One client connection. Its pending operations keep it alive.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(tcp::socket socket, HttpServer& server);
    void start();
    // The client's address; empty if it had disconnected before the connection was accepted.
    const core::ClientAddress& client() const {
        return client_;
    }
    // Sends the only response to the open request; ignored once the client has disconnected.
    void respond(HttpResponse response);
    // Called once if the client disconnects before its response.
    void when_disconnected(std::function<void()> action) {
        on_disconnected_ = std::move(action);
    }
    // The earliest time at which the last byte of the open request can have arrived.
    core::Time arrived() const {
        return arrived_;
    }
    // Whether the client has closed or reset the connection, according to the socket's current state.
    bool client_left();
    void close(CloseReason reason);
    void close_if_idle();

    // Used to choose a connection to evict.
    limits::ConnectionActivity activity(std::chrono::steady_clock::time_point now);
    std::chrono::steady_clock::time_point since() const {
        return since_;
    }

private:
    enum class State { reading, open, writing, lingering, closed };
    void read();
    void on_first_byte();
    void on_head(const error_code& error, std::size_t consumed);
    void on_read(const error_code& error, std::size_t consumed);
    void on_read_error(const error_code& error);
    void linger(CloseReason reason);
    void end_linger() {
        close(CloseReason::final_response_sent);
    }
    void write_stalled() {
        close(CloseReason::write_stalled);
    }
    core::Time arrival(std::size_t consumed) const;
    void discard();
    // Replaces the previous timeout.
    void set_timeout(std::chrono::milliseconds timeout, void (HttpSession::*action)());
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
    ParseBuffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;
    std::optional<http::response_serializer<http::string_body>> serializer_;
    std::function<void()> on_disconnected_;
    asio::steady_timer timeout_;
    State state_ = State::reading;
    // Time of the last of these: opened, began to respond, finished responding, began to linger, made
    // progress.
    std::chrono::steady_clock::time_point since_;
    std::size_t bytes_seen_ = 0;            // of its request, at the last call of activity()
    std::uint64_t timeout_generation_ = 0;  // distinguishes the current timeout from replaced ones
    std::size_t discarded_ = 0;
    std::size_t buffered_at_start_ = 0;  // bytes in the buffer when reading the request began
    core::Time buffered_since_{};        // the earliest time at which they can have arrived
    // The earliest time at which bytes still in the socket, after a full read-ahead, can have arrived; unset
    // once the socket is found empty.
    std::optional<core::Time> unread_since_;
    core::Time arrived_{};
    std::optional<CloseReason> close_reason_;
    bool unread_grace_used_ = false;
    bool keep_alive_ = false;
    bool first_request_ = true;  // no request has been completely received yet
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
    // Changes the limit on open connections, and evicts connections without an open request that exceed it.
    void limit_connections(std::size_t max);
    // Accepts the connections in the backlog and no more; each open connection is closed after its next
    // response.
    void stop_accepting();
    // Graceful shutdown: stops accepting, closes idle connections, and others after their response.
    void stop();
    tcp::endpoint local() const {
        return listener_.local();
    }
    // No connection is open and none can be accepted any more.
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
    std::array<char, 16UL * 1024> discarded_{};  // receives the input that is discarded while lingering
    bool accepting_stopped_ = false;
    bool stopping_ = false;
};

}  // namespace silverrail::net

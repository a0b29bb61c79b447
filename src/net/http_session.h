// One client's connection to the HTTP/1.1 server. It reads one request at a time within the server's limits,
// waits for its response, and watches for the client's disconnect meanwhile.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core/types.h"
#include "limits/connection_eviction.h"
#include "limits/memory_budget.h"
#include "net/asio.h"
#include "net/message_parser.h"
#include "net/parse_buffer.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

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
    // Whether the body of the open request was discarded for lack of memory.
    bool body_discarded() const {
        return body_discarded_;
    }
    // Whether the client has closed or reset the connection, according to the socket's current state.
    bool client_left();
    void close(CloseReason reason);
    void close_if_idle();
    // Discards what has been received of an incomplete request's body. The request is still read to its end.
    void discard_body();
    // Bytes of an incomplete request's body that discard_body() would free.
    std::size_t incomplete_body_bytes() const;
    // When the client last read a part of the response that is being written. Absent: none is.
    std::optional<std::chrono::steady_clock::time_point> response_progress() const;
    // When the first byte of the request that is being read was received, or later.
    std::chrono::steady_clock::time_point request_began() const {
        return request_began_;
    }

    // Used to choose a connection to evict.
    limits::ConnectionActivity activity(std::chrono::steady_clock::time_point now);
    std::chrono::steady_clock::time_point since() const {
        return since_;
    }

private:
    enum class State { reading, open, writing, lingering, closed };
    void read();
    void on_first_byte();
    void read_some();
    void on_some(const error_code& error);
    void wait_for_more();
    bool check_head();
    void on_read();
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
    void log_close(CloseReason reason);
    std::string state_name() const;
    void watch_for_disconnect();
    void on_readable(const error_code& error);
    void on_disconnect();

    void account_for_buffer();
    void release_unused_buffer();
    void release_memory();

    TcpStream socket_;
    core::ClientAddress client_;
    HttpServer& server_;
    ParseBuffer buffer_;
    std::optional<RequestParser> parser_;
    std::optional<HttpResponse> response_;
    std::optional<http::response_serializer<http::string_body>> serializer_;
    std::function<void()> on_disconnected_;
    asio::steady_timer timeout_;
    State state_ = State::reading;
    limits::MemoryReservation connection_memory_;
    limits::MemoryReservation request_memory_;
    limits::MemoryReservation response_memory_;
    std::chrono::steady_clock::time_point request_began_{};
    std::chrono::steady_clock::time_point response_progress_{};
    // Time of the last of these: opened, began to respond, finished responding, began to linger, made
    // progress.
    std::chrono::steady_clock::time_point since_;
    std::size_t bytes_seen_ = 0;            // of its request, at the last call of activity()
    std::uint64_t timeout_generation_ = 0;  // distinguishes the current timeout from replaced ones
    std::size_t discarded_ = 0;
    std::size_t consumed_ = 0;           // bytes of the request that have been parsed
    std::size_t buffered_at_start_ = 0;  // bytes in the buffer when reading the request began
    core::Time buffered_since_{};        // the earliest time at which they can have arrived
    // The earliest time at which bytes still in the socket, after a full read-ahead, can have arrived; unset
    // once the socket is found empty.
    std::optional<core::Time> unread_since_;
    core::Time arrived_{};
    std::optional<CloseReason> close_reason_;
    bool unread_grace_used_ = false;
    bool body_discarded_ = false;
    bool keep_alive_ = false;
    bool first_request_ = true;  // no request has been completely received yet
};

}  // namespace silverrail::net

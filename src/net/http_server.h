// The HTTP/1.1 side towards clients: one request at a time on a connection, bounded in every way.
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
#include "net/listener.h"
#include "net/loop_watch.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpLimits {
    std::uint32_t header = 8 * 1024;
    std::uint64_t body = 64 * 1024;
    std::size_t connections = 400;
    // A client that can't get a request out is owed its end within 3 s of connecting.
    std::chrono::milliseconds first_request{2'500};  // from connecting to the first request's last byte
    std::chrono::milliseconds half_read{2'500};      // from a later request's first byte to its last
    // What has come by the end of such a limit, but was not read yet, is still read.
    std::chrono::milliseconds unread{50};
    std::size_t early = 8 * 1024;                   // that is read of what comes before an answer is given
    std::chrono::milliseconds look_for_end{40};     // with that much read, this far apart
    std::chrono::milliseconds write{6'000};         // for some more of an answer to be taken
    std::chrono::milliseconds whole_write{60'000};  // for all of it
    std::chrono::milliseconds linger{500};          // for reading on after a last answer
    std::size_t linger_bytes = 1 << 20;
    Listener::Port port = Listener::Port::alone;
};

class HttpServer;

// Why a client's connection was closed.
enum class CloseReason : std::uint8_t {
    answered_last,  // after an answer that was said to be the last
    client_left,
    broken,         // an error of the connection
    idle_end,       // nothing was open on it, at the process's end
    silent,         // nothing came in time
    slow_request,   // half a request came in time
    evicted,        // it gave way to others
    unreadable,     // not HTTP, or over a limit
    write_stalled,  // its answer was not taken
    shut_down,      // with the server itself
    count_
};
constexpr std::size_t kCloseReasons = static_cast<std::size_t>(CloseReason::count_);
std::string_view name_of(CloseReason reason);

struct HttpCounters {
    std::array<std::uint64_t, kCloseReasons> closed{};
    std::uint64_t full_of_early_bytes = 0;  // open requests with as much behind them as is read early
    std::uint64_t left_before_taken = 0;    // requests whose client had gone when they were read whole
    // Violations: an open request whose connection was closed unanswered while its client was there; a second
    // answer to one request.
    std::uint64_t closed_unanswered = 0;
    std::uint64_t second_answers = 0;
    std::uint64_t violations() const {
        return closed_unanswered + second_answers;
    }
};

// One connection. It lives while its operations do.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    HttpSession(tcp::socket socket, HttpServer& server);
    void start();
    // Where the client is; none if it had gone before it was taken.
    const core::ClientAddress& client() const {
        return client_;
    }
    // The one answer to the request that is open; ignored once the client has gone.
    void respond(HttpResponse response);
    // Called once if the client goes away before its answer.
    void when_gone(std::function<void()> action) {
        gone_ = std::move(action);
    }
    // When the last byte of the open request came, at the earliest.
    core::Time arrived() const {
        return arrived_;
    }
    // Has the client closed or reset the connection, by what the system says now?
    bool client_left();
    void close(CloseReason reason);
    void close_if_idle();

    // For the decision on who gives way when connections run short.
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
    void unreadable(const error_code& error);
    void linger(CloseReason reason);
    void linger_over() {
        close(CloseReason::answered_last);
    }
    void write_stalled() {
        close(CloseReason::write_stalled);
    }
    core::Time arrival(std::size_t consumed) const;
    void discard();
    void end_after(Limit limit, void (HttpSession::*end)());  // unless the state moves on before that
    void too_slow();
    void look_for_end();
    void last_answer(http::status status, CloseReason reason);
    void write_some();
    void written();
    bool nothing_came();
    bool more_waits();  // behind the open request
    void read_what_came(core::Time since);
    std::size_t came();
    void watch();
    void on_watch(const error_code& error);
    void lost();

    TcpStream socket_;
    core::ClientAddress client_;
    HttpServer& server_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::optional<HttpResponse> response_;
    std::optional<http::response_serializer<http::string_body>> serializer_;
    std::function<void()> gone_;
    asio::steady_timer limit_;
    State state_ = State::reading;
    std::chrono::steady_clock::time_point
        since_;             // opened, began to answer, answered, began to linger, or seen to move
    std::size_t seen_ = 0;  // what had come of its request when it was looked at last
    std::uint64_t limits_set_ = 0;
    std::size_t discarded_ = 0;
    std::size_t buffered_ = 0;     // of the request that is read, when its reading began
    core::Time buffered_since_{};  // and since when, at the earliest
    // More stands in the socket than is read early: since when it may have, until it is found empty.
    std::optional<core::Time> unread_since_;
    core::Time arrived_{};
    std::optional<CloseReason> reason_;
    bool looked_again_ = false;  // after a limit on reading, for what had come by then
    bool keep_alive_ = false;
    bool first_ = true;  // no request has been read whole yet
};

class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpSession>, HttpRequest)>;

    // Takes the address at once; throws boost::system::system_error if it cannot.
    HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits, Handler handler, Log& log);
    ~HttpServer();
    void start() {
        listener_.start([this](tcp::socket socket) { admit(std::move(socket)); });
    }
    // What may be open at once, from now on. Connections without a request are given up down to that.
    void limit_connections(std::size_t most);
    // No new connections but those that the machine has accepted for us; each open one ends with its next
    // answer.
    void retire();
    // Takes what has come up to now, then nothing more; idle connections are closed, others after answering.
    void stop();
    tcp::endpoint local() const {
        return listener_.local();
    }
    // Nothing is open any more and nothing can come.
    bool done() const {
        return listener_.closed() && sessions_.empty();
    }
    const Listener::Counters& accepts() const {
        return listener_.counters();
    }
    const HttpCounters& counters() const {
        return counters_;
    }
    const LoopWatch& loop() const {
        return loop_;
    }
    std::size_t connections() const {
        return sessions_.size();
    }
    // Frees descriptors when the process runs out of them.
    void when_out_of_descriptors(std::function<void()> action) {
        listener_.when_out_of_descriptors(std::move(action));
    }

private:
    friend class HttpSession;
    void admit(tcp::socket socket);
    bool make_room();

    Listener listener_;
    LoopWatch loop_;
    HttpCounters counters_;
    HttpLimits limits_;
    Handler handler_;
    Log& log_;
    std::map<HttpSession*, std::weak_ptr<HttpSession>> sessions_;
    std::array<char, 16 * 1024> discarded_{};  // what is read after a last answer; nobody looks at it
    bool retiring_ = false;
    bool stopping_ = false;
};

}  // namespace silverrail::net

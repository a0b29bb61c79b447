#include "net/http_server.h"

#include <poll.h>

#include "net/peek.h"

namespace silverrail::net {

namespace {
constexpr std::array<std::string_view, kCloseReasons> kReasonNames{
    "answered_last", "client_left", "broken",     "idle_end",      "silent",
    "slow_request",  "evicted",     "unreadable", "write_stalled", "shut_down"};
// During a longer write the next request may have arrived and waited.
constexpr std::chrono::milliseconds kMaxShortWrite{20};
}  // namespace

std::string_view name_of(CloseReason reason) {
    return kReasonNames[static_cast<std::size_t>(reason)];
}

HttpSession::HttpSession(tcp::socket socket, HttpServer& server)
    : socket_(std::move(socket)),
      server_(server),
      timeout_(socket_.get_executor()),
      since_(std::chrono::steady_clock::now()) {
    error_code error;
    if (const auto at = socket_.remote_endpoint(error); !error)
        client_ = client_address(at.address());
}

void HttpSession::start() {
    set_timeout(server_.limits_.first_request_timeout, &HttpSession::on_request_timeout);
    read();
}

void HttpSession::set_timeout(Limit limit, void (HttpSession::*end)()) {
    timeout_.expires_after(limit);
    // A handler that was due already when the timeout was replaced must not act on what has begun since.
    timeout_.async_wait([weak = weak_from_this(), end, set = ++timeouts_set_](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self && set == self->timeouts_set_)
            (self.get()->*end)();
    });
}

// Bytes may be in the socket already, as the timer's handler may run before the read's. Half a request is
// answered, so that its client learns why; silence is not.
void HttpSession::on_request_timeout() {
    if (state_ != State::reading)
        return;
    if (!std::exchange(read_after_timeout_, true) && peek(socket_) > 0)
        return set_timeout(server_.limits_.unread_grace, &HttpSession::on_request_timeout);
    if (nothing_received())
        return linger(CloseReason::silent);
    server_.log_.line("slow-request", "half a request, not the rest of it in time");
    send_final_error(http::status::request_timeout, CloseReason::slow_request);
}

void HttpSession::read() {
    state_ = State::reading;
    read_after_timeout_ = false;
    bytes_seen_ = 0;
    parser_.emplace();
    parser_->header_limit(server_.limits_.header);
    parser_->body_limit(server_.limits_.body);
    buffered_before_ = buffer_.size();
    if (unread_since_ && buffered_before_ == 0 && peek(socket_) < 0)
        unread_since_.reset();
    if (buffered_before_ > 0)
        return on_first_byte();
    // An idle connection holds no buffer, and has no timeout once it has brought a request.
    buffer_.shrink_to_fit();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (self->state_ != State::reading)
            return;
        if (error)
            return self->close(CloseReason::broken);
        self->on_first_byte();
    });
}

void HttpSession::on_first_byte() {
    if (!first_request_)
        set_timeout(server_.limits_.request_timeout, &HttpSession::on_request_timeout);
    // The header by itself: read together with its body, Beast 1.74 loses the error of a length over the
    // limit.
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t consumed) {
                                self->on_head(error, consumed);
                            });
}

void HttpSession::on_head(const error_code& error, std::size_t consumed) {
    if (state_ != State::reading)
        return;
    if (error)
        return on_unreadable(error);
    // A transfer coding other than chunked leaves the length open: a request could be smuggled in the body.
    if (parser_->get().count(http::field::transfer_encoding) > 0 && !parser_->chunked())
        return on_unreadable(http::error::bad_transfer_encoding);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), consumed](const error_code& e, std::size_t more) {
                         self->on_read(e, consumed + more);
                     });
}

// The earliest moment at which the last of `consumed` bytes can have arrived. Bytes that were there already
// have waited for the request before them.
core::Time HttpSession::arrival(std::size_t consumed) const {
    const core::Time seen = server_.loop_monitor_.earliest_arrival();
    if (consumed <= buffered_before_)
        return std::min(buffered_since_, seen);
    return std::min(unread_since_.value_or(seen), seen);
}

void HttpSession::on_read(const error_code& error, std::size_t consumed) {
    if (state_ != State::reading)
        return;
    if (error)
        return on_unreadable(error);
    arrived_ = arrival(consumed);
    buffered_since_ = arrived_;  // bytes behind it may have come along
    // No work may begin for a client that left while its request waited unread.
    if (client_left()) {
        ++server_.counters_.disconnected_before_handling;
        return close(CloseReason::client_left);
    }
    ++timeouts_set_;
    timeout_.cancel();
    first_request_ = false;
    HttpRequest request = parser_->release();
    parser_.reset();
    keep_alive_ = request.keep_alive();
    state_ = State::open;
    server_.handler_(shared_from_this(), std::move(request));
    if (state_ == State::open)
        watch_for_disconnect();
}

void HttpSession::on_unreadable(const error_code& error) {
    // Success has the system's category too.
    if (error == http::error::end_of_stream)
        return close(CloseReason::client_left);
    if (error.category() == boost::system::system_category())
        return close(CloseReason::broken);
    // Not HTTP, or over a limit: the connection ends, as its state is not known any more.
    server_.log_.line("bad-request", "%s", error.message().c_str());
    parser_.reset();
    send_final_error(error == http::error::body_limit     ? http::status::payload_too_large
                     : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                          : http::status::bad_request,
                     CloseReason::unreadable);
}

// Answers a request that is incomplete or given up; the connection ends with it.
void HttpSession::send_final_error(http::status status, CloseReason reason) {
    keep_alive_ = false;
    close_reason_ = reason;
    state_ = State::open;
    respond({status, 11});
}

// Closing with unread bytes would reset the connection and might lose the last response. So the sending side
// is closed, and what still arrives is discarded; its client sees the end and retries elsewhere.
void HttpSession::linger(CloseReason reason) {
    if (state_ == State::lingering || state_ == State::closed)
        return;
    if (!close_reason_)
        close_reason_ = reason;
    state_ = State::lingering;
    since_ = std::chrono::steady_clock::now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    set_timeout(server_.limits_.linger_timeout, &HttpSession::end_linger);
    discard();
}

// Not into the connection's own buffer, which a read under way may still use.
void HttpSession::discard() {
    socket_.async_read_some(asio::buffer(server_.discarded_),
                            [self = shared_from_this()](const error_code& error, std::size_t got) {
                                if (self->state_ != State::lingering)
                                    return;
                                self->discarded_ += got;
                                if (error || self->discarded_ > self->server_.limits_.max_linger_bytes)
                                    return self->end_linger();
                                self->discard();
                            });
}

// While a response is pending, the client may disconnect. What it sends meanwhile is read, up to a bound, as
// the end of the stream would not be seen behind it.
void HttpSession::watch_for_disconnect() {
    if (buffer_.size() >= server_.limits_.read_ahead) {
        ++server_.counters_.read_ahead_full;
        if (!unread_since_)
            unread_since_ = server_.loop_monitor_.earliest_arrival();
        return set_timeout(server_.limits_.disconnect_check_interval, &HttpSession::check_for_disconnect);
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) { self->on_readable(error); });
}

void HttpSession::on_readable(const error_code& error) {
    if (state_ != State::open || error == asio::error::operation_aborted)
        return;
    const auto got = take_now(socket_, buffer_.prepare(server_.limits_.read_ahead - buffer_.size()));
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return on_disconnect();
    if (got > 0 && buffer_.size() == 0)
        buffered_since_ = server_.loop_monitor_.earliest_arrival();
    if (got > 0)
        buffer_.commit(static_cast<std::size_t>(got));
    watch_for_disconnect();
}

// The read-ahead is full and the rest waits in the socket, so only the system can tell whether the client is
// still there.
void HttpSession::check_for_disconnect() {
    if (state_ != State::open)
        return;
    if (client_left())
        return on_disconnect();
    set_timeout(server_.limits_.disconnect_check_interval, &HttpSession::check_for_disconnect);
}

void HttpSession::on_disconnect() {
    const auto self = shared_from_this();
    const auto gone = std::exchange(on_disconnected_, nullptr);
    close(CloseReason::client_left);
    if (gone)
        gone();
}

bool HttpSession::client_left() {
    if (state_ == State::closed)
        return true;
    const auto got = peek(socket_);
    if (got < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK;
    if (got == 0)
        return true;
    // The end of the stream may stand behind unread bytes.
    pollfd ended{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&ended, 1, 0) > 0 && (ended.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

bool HttpSession::has_pipelined_bytes() {
    return buffer_.size() > 0 || peek(socket_) > 0;
}

void HttpSession::respond(HttpResponse response) {
    if (state_ == State::writing)
        ++server_.counters_.duplicate_responses;
    if (state_ != State::open)
        return;
    state_ = State::writing;
    on_disconnected_ = nullptr;
    // Retiring, the end is said with the last answer that is owed here.
    response.keep_alive(keep_alive_ && (!server_.accepting_stopped_ || has_pipelined_bytes()));
    keep_alive_ = response.keep_alive();
    response.prepare_payload();
    response_.emplace(std::move(response));
    serializer_.emplace(*response_);
    socket_.cancel();  // the watch
    since_ = std::chrono::steady_clock::now();
    write_some();
}

// A reader that is slow but moves is waited for, one that has stopped is not.
void HttpSession::write_some() {
    set_timeout(server_.limits_.write_stall_timeout, &HttpSession::write_stalled);
    http::async_write_some(socket_, *serializer_,
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                               if (self->state_ != State::writing)
                                   return;
                               if (!error && self->serializer_->is_done())
                                   return self->on_response_written();
                               const auto passed = std::chrono::steady_clock::now() - self->since_;
                               // An answer that breaks off is cut short for the client to see: its length was
                               // told.
                               if (error)
                                   return self->close(CloseReason::broken);
                               if (passed > self->server_.limits_.write_timeout)
                                   return self->write_stalled();
                               self->write_some();
                           });
}

void HttpSession::on_response_written() {
    serializer_.reset();
    response_.reset();
    if (!keep_alive_)
        return linger(CloseReason::answered_last);
    ++timeouts_set_;
    timeout_.cancel();
    const auto began = std::exchange(since_, std::chrono::steady_clock::now());
    // Bytes that came during a long write may be as old as its beginning.
    if (buffer_.size() == 0 && since_ - began > kMaxShortWrite)
        read_pipelined(core::Time{began.time_since_epoch()});
    read();
    // The response had promised keep-alive, so a request that has come since is still served.
    if (server_.stopping_)
        close_if_idle();
}

void HttpSession::read_pipelined(core::Time since) {
    const auto got = take_now(socket_, buffer_.prepare(server_.limits_.read_ahead));
    if (got <= 0)
        return;
    buffer_.commit(static_cast<std::size_t>(got));
    buffered_since_ = since;
}

void HttpSession::close(CloseReason reason) {
    if (state_ == State::closed)
        return;
    const CloseReason why = close_reason_.value_or(reason);
    const bool by_client = why == CloseReason::client_left || why == CloseReason::broken;
    if (state_ == State::open && !by_client && why != CloseReason::shut_down)
        ++server_.counters_.closed_unanswered;
    ++server_.counters_.closed[static_cast<std::size_t>(why)];
    state_ = State::closed;
    timeout_.cancel();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    server_.sessions_.erase(this);
}

bool HttpSession::nothing_received() {
    if (buffer_.size() > 0 || (parser_ && parser_->got_some()))
        return false;
    return peek(socket_) <= 0;
}

void HttpSession::close_if_idle() {
    if (state_ == State::reading && nothing_received())
        linger(CloseReason::idle_end);
}

// Bytes of the request that is being read; unread ones count as one.
std::size_t HttpSession::bytes_received() {
    std::size_t bytes = buffer_.size();
    if (parser_)
        bytes += parser_->get().body().size() + (parser_->is_header_done() ? 1 : 0);
    if (bytes == 0 && !nothing_received())
        bytes = 1;
    return bytes;
}

limits::ConnectionActivity HttpSession::activity(std::chrono::steady_clock::time_point now) {
    using Phase = limits::ConnectionActivity::Phase;
    limits::ConnectionActivity activity;
    if (state_ != State::reading) {
        activity.phase = state_ == State::lingering ? Phase::closing : Phase::answering;
    } else if (const std::size_t bytes = bytes_received(); bytes != std::exchange(bytes_seen_, bytes)) {
        since_ = now;
    }
    activity.has_sent_request = !first_request_;
    activity.request_begun = bytes_seen_ > 0;
    activity.idle_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - since_);
    return activity;
}

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
            alive->close(CloseReason::shut_down);
}

void HttpServer::admit(tcp::socket socket) {
    if (sessions_.size() >= limits_.connections && !evict_connection()) {
        log_.line("too-many-clients", "%zu connections", sessions_.size());
        return;  // closed
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<HttpSession>(std::move(socket), *this);
    sessions_.emplace(session.get(), session);
    session->start();
}

// Evicts the connection of the most dispensable kind, and of these the one without progress for longest.
// Returns false if all have a request open.
bool HttpServer::evict_connection() {
    std::shared_ptr<HttpSession> victim;
    std::optional<limits::EvictionPriority> kind;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [session, weak] : sessions_) {
        const auto alive = weak.lock();
        const auto gives = alive ? limits::eviction_priority(alive->activity(now)) : std::nullopt;
        if (!gives || (victim && std::pair{*kind, victim->since()} <= std::pair{*gives, alive->since()}))
            continue;
        victim = alive;
        kind = gives;
    }
    if (!victim)
        return false;
    victim->close(CloseReason::evicted);
    return true;
}

void HttpServer::limit_connections(std::size_t most) {
    limits_.connections = most;
    while (sessions_.size() > most && evict_connection()) {}
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

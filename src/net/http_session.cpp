#include "net/http_session.h"

#include <poll.h>

#include "net/http_server.h"
#include "net/peek.h"

namespace silverrail::net {

namespace {
// By CloseReason; the names appear in counters.
constexpr std::array<std::string_view, kCloseReasons> kReasonNames{
    "answered_last", "client_left", "broken",     "idle_end",      "silent",
    "slow_request",  "evicted",     "unreadable", "write_stalled", "shut_down"};
// During a longer write the next request may have arrived and have been kept waiting.
constexpr std::chrono::milliseconds kMaxShortWrite{20};
// What a connection takes besides its buffers: its state, pending operations and, while open, its request.
constexpr std::size_t kBytesPerConnection = 4096;
}  // namespace

std::string_view name_of(CloseReason reason) {
    return kReasonNames[static_cast<std::size_t>(reason)];
}

HttpSession::HttpSession(tcp::socket socket, HttpServer& server)
    : socket_(std::move(socket)),
      server_(server),
      buffer_(server.limits_.unparsed),
      timeout_(socket_.get_executor()),
      connection_memory_(server.memory_, limits::MemoryUse::client_connections),
      request_memory_(server.memory_, limits::MemoryUse::request_bodies),
      response_memory_(server.memory_, limits::MemoryUse::client_responses),
      since_(std::chrono::steady_clock::now()) {
    connection_memory_.resize(kBytesPerConnection);
    error_code error;
    if (const auto at = socket_.remote_endpoint(error); !error)
        client_ = client_address(at.address());
}

void HttpSession::start() {
    set_timeout(server_.limits_.first_request_timeout, &HttpSession::on_request_timeout);
    read();
}

void HttpSession::set_timeout(std::chrono::milliseconds timeout, void (HttpSession::*action)()) {
    timeout_.expires_after(timeout);
    // A handler that was already queued when the timeout was replaced must not act on the new state.
    timeout_.async_wait(
        [weak = weak_from_this(), action, generation = ++timeout_generation_](const error_code& error) {
            const auto self = weak.lock();
            if (!error && self && generation == self->timeout_generation_)
                (self.get()->*action)();
        });
}

// The timer's handler may run before the read's although bytes have arrived in the socket. An incomplete
// request gets an error response, which tells its client the reason; a connection without any bytes does not.
void HttpSession::on_request_timeout() {
    if (state_ != State::reading)
        return;
    if (!std::exchange(unread_grace_used_, true) && peek(socket_) > 0)
        return set_timeout(server_.limits_.unread_grace, &HttpSession::on_request_timeout);
    if (nothing_received())
        return linger(CloseReason::no_request);
    server_.log_.line("slow-request", "request not completed in time");
    send_final_error(http::status::request_timeout, CloseReason::slow_request);
}

void HttpSession::read() {
    state_ = State::reading;
    unread_grace_used_ = false;
    bytes_seen_ = 0;
    body_discarded_ = false;
    parser_.emplace(server_.stored_fields_, [this](std::size_t body_bytes) {
        return server_.reserve_for_body(*this, request_memory_, body_bytes);
    });
    parser_->header_limit(server_.limits_.header);
    parser_->body_limit(server_.limits_.body);
    buffered_at_start_ = buffer_.size();
    if (unread_since_ && buffered_at_start_ == 0 && peek(socket_) < 0)
        unread_since_.reset();
    if (buffered_at_start_ > 0)
        return on_first_byte();
    // An idle connection holds no buffer, and has no timeout after its first request.
    release_unused_buffer();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (self->state_ != State::reading)
            return;
        if (error)
            return self->close(CloseReason::connection_error);
        self->on_first_byte();
    });
}

void HttpSession::on_first_byte() {
    request_began_ = std::chrono::steady_clock::now();
    consumed_ = 0;
    if (!first_request_)
        set_timeout(server_.limits_.request_timeout, &HttpSession::on_request_timeout);
    // The header is parsed separately: if it is parsed together with the body, Beast 1.74 loses the error of
    // a length over the limit.
    parser_->eager(false);
    read_some();
}

// Beast reads as many bytes as the buffer has room for.
void HttpSession::read_some() {
    buffer_.reserve(server_.limits_.unparsed);
    account_for_buffer();
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const error_code& error, std::size_t consumed) {
                              self->consumed_ += consumed;
                              self->on_some(error);
                          });
}

void HttpSession::on_some(const error_code& error) {
    if (state_ != State::reading)
        return;
    if (error)
        return on_read_error(error);
    if (parser_->is_header_done() && !parser_->eager() && !check_head())
        return;
    if (parser_->is_done())
        return on_read();
    wait_for_more();
}

// A request whose client has stopped holds no more than has been received of it.
void HttpSession::wait_for_more() {
    const bool more_to_parse = buffer_.size() > 0 && parser_->is_header_done();
    if (more_to_parse || peek(socket_) > 0)
        return read_some();
    release_unused_buffer();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        if (self->state_ != State::reading)
            return;
        if (error)
            return self->close(CloseReason::connection_error);
        self->read_some();
    });
}

// Returns false if the request has been rejected.
bool HttpSession::check_head() {
    parser_->eager(true);
    // Without chunked as the final transfer coding, the body's length is undefined, and another request could
    // be smuggled in it.
    if (!parser_->has_transfer_encoding() || parser_->chunked())
        return true;
    on_read_error(http::error::bad_transfer_encoding);
    return false;
}

// The earliest time at which the last of `consumed` bytes can have arrived. Bytes that were buffered already
// have waited for the previous request to end.
core::Time HttpSession::arrival(std::size_t consumed) const {
    const core::Time seen = server_.loop_monitor_.earliest_arrival();
    if (consumed <= buffered_at_start_)
        return std::min(buffered_since_, seen);
    return std::min(unread_since_.value_or(seen), seen);
}

void HttpSession::on_read() {
    arrived_ = arrival(consumed_);
    buffered_since_ = arrived_;  // bytes after it may have arrived with it
    // No work may begin for a client that disconnected while its request was still unread.
    if (client_left()) {
        ++server_.counters_.disconnected_before_handling;
        return close(CloseReason::client_disconnected);
    }
    ++timeout_generation_;
    timeout_.cancel();
    first_request_ = false;
    keep_alive_ = parser_->keep_alive();
    body_discarded_ = parser_->body_discarded();
    HttpRequest request = parser_->release();
    parser_.reset();
    release_unused_buffer();
    state_ = State::open;
    server_.handler_(shared_from_this(), std::move(request));
    if (state_ == State::open)
        watch_for_disconnect();
}

void HttpSession::on_read_error(const error_code& error) {
    if (error == http::error::end_of_stream)
        return close(CloseReason::client_disconnected);
    // A success would have the system's category too, but is not passed here.
    if (error.category() == boost::system::system_category())
        return close(CloseReason::connection_error);
    // Not HTTP, or over a limit: the connection is closed, as it is unknown where the next request would
    // begin.
    server_.log_.line("bad-request", "%s", error.message().c_str());
    parser_.reset();
    request_memory_.resize(0);
    send_final_error(error == http::error::body_limit     ? http::status::payload_too_large
                     : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                          : http::status::bad_request,
                     CloseReason::malformed_request);
}

// Responds to a request that is incomplete or malformed, and closes the connection after the response.
void HttpSession::send_final_error(http::status status, CloseReason reason) {
    keep_alive_ = false;
    close_reason_ = reason;
    state_ = State::open;
    respond({status, 11});
}

// Closing with unread bytes would reset the connection, and the last response might be lost. So only the
// sending side is closed, and further input is discarded; a client that has sent another request sees the end
// of the stream and retries elsewhere.
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

// Does not read into the connection's own buffer, which a pending read may still use.
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

// The client may disconnect while its response is pending. Bytes that it sends meanwhile are read, up to a
// limit, as they would hide the end of the stream.
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
    const auto got = read_available(socket_, buffer_.prepare(server_.limits_.read_ahead - buffer_.size()));
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return on_disconnect();
    if (got > 0 && buffer_.size() == 0)
        buffered_since_ = server_.loop_monitor_.earliest_arrival();
    if (got > 0)
        buffer_.commit(static_cast<std::size_t>(got));
    account_for_buffer();
    watch_for_disconnect();
}

// The read-ahead is full and further bytes stay in the socket, so only the socket's state tells whether the
// client is still connected.
void HttpSession::check_for_disconnect() {
    if (state_ != State::open)
        return;
    if (client_left())
        return on_disconnect();
    set_timeout(server_.limits_.disconnect_check_interval, &HttpSession::check_for_disconnect);
}

void HttpSession::on_disconnect() {
    const auto self = shared_from_this();
    const auto on_disconnected = std::exchange(on_disconnected_, nullptr);
    close(CloseReason::client_disconnected);
    if (on_disconnected)
        on_disconnected();
}

bool HttpSession::client_left() {
    if (state_ == State::closed)
        return true;
    const auto got = peek(socket_);
    if (got < 0)
        return errno != EAGAIN && errno != EWOULDBLOCK;
    if (got == 0)
        return true;
    // The end of the stream may follow unread bytes.
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
    // Once accepting has stopped, the last response due on this connection announces its close.
    response.keep_alive(keep_alive_ && (!server_.accepting_stopped_ || has_pipelined_bytes()));
    keep_alive_ = response.keep_alive();
    response.prepare_payload();
    response_memory_.resize(response.body().size());
    response_.emplace(std::move(response));
    serializer_.emplace(*response_);
    socket_.cancel();  // ends watch_for_disconnect()
    since_ = std::chrono::steady_clock::now();
    write_some();
}

// A client that reads slowly gets its whole response; one that has stopped reading is disconnected.
void HttpSession::write_some() {
    response_progress_ = std::chrono::steady_clock::now();
    set_timeout(server_.limits_.write_stall_timeout, &HttpSession::write_stalled);
    http::async_write_some(socket_, *serializer_,
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                               if (self->state_ != State::writing)
                                   return;
                               if (!error && self->serializer_->is_done())
                                   return self->on_response_written();
                               const auto passed = std::chrono::steady_clock::now() - self->since_;
                               // The client detects an incomplete response, as its length was announced.
                               if (error)
                                   return self->close(CloseReason::connection_error);
                               if (passed > self->server_.limits_.write_timeout)
                                   return self->write_stalled();
                               self->write_some();
                           });
}

void HttpSession::on_response_written() {
    serializer_.reset();
    response_.reset();
    response_memory_.resize(0);
    request_memory_.resize(0);
    if (!keep_alive_)
        return linger(CloseReason::final_response_sent);
    ++timeout_generation_;
    timeout_.cancel();
    const auto began = std::exchange(since_, std::chrono::steady_clock::now());
    // Bytes that arrived during a long write may have arrived at its beginning.
    if (buffer_.size() == 0 && since_ - began > kMaxShortWrite)
        read_pipelined(core::Time{began.time_since_epoch()});
    read();
    // The response announced keep-alive, so a request that has arrived since is still served.
    if (server_.stopping_)
        close_if_idle();
}

void HttpSession::read_pipelined(core::Time since) {
    const auto got = read_available(socket_, buffer_.prepare(server_.limits_.read_ahead));
    if (got <= 0)
        return;
    buffer_.commit(static_cast<std::size_t>(got));
    buffered_since_ = since;
}

void HttpSession::close(CloseReason reason) {
    if (state_ == State::closed)
        return;
    const CloseReason first_reason = close_reason_.value_or(reason);
    const bool by_client =
        first_reason == CloseReason::client_disconnected || first_reason == CloseReason::connection_error;
    if (state_ == State::open && !by_client && first_reason != CloseReason::server_destroyed)
        ++server_.counters_.closed_unanswered;
    ++server_.counters_.closed[static_cast<std::size_t>(first_reason)];
    log_close(first_reason);
    state_ = State::closed;
    timeout_.cancel();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    release_memory();
    server_.sessions_.erase(this);
}

// A pending operation may keep the closed session, and with it the buffers that it uses, for a moment.
void HttpSession::release_memory() {
    connection_memory_.resize(0);
    request_memory_.resize(0);
    response_memory_.resize(0);
}

void HttpSession::account_for_buffer() {
    connection_memory_.resize(kBytesPerConnection + buffer_.capacity());
}

void HttpSession::release_unused_buffer() {
    buffer_.shrink_to_fit();
    account_for_buffer();
}

std::optional<std::chrono::steady_clock::time_point> HttpSession::response_progress() const {
    return state_ == State::writing ? std::optional{response_progress_} : std::nullopt;
}

std::size_t HttpSession::incomplete_body_bytes() const {
    return state_ == State::reading && parser_ ? request_memory_.bytes() : 0;
}

void HttpSession::discard_body() {
    if (!parser_ || state_ != State::reading)
        return;
    parser_->discard_body();
    request_memory_.resize(0);
}

// Closes that belong to the usual life of a connection are only counted.
void HttpSession::log_close(CloseReason reason) {
    switch (reason) {
        case CloseReason::final_response_sent:
        case CloseReason::client_disconnected:
        case CloseReason::idle_at_shutdown:
        case CloseReason::server_destroyed:
        case CloseReason::count_:
            return;
        case CloseReason::connection_error:
        case CloseReason::no_request:
        case CloseReason::slow_request:
        case CloseReason::evicted:
        case CloseReason::malformed_request:
        case CloseReason::write_stalled:
            break;
    }
    server_.log_.line("connection-closed", "%s in state %s, %zu bytes of a request received",
                      std::string{name_of(reason)}.c_str(), state_name().c_str(), bytes_received());
}

std::string HttpSession::state_name() const {
    static constexpr std::array<std::string_view, 5> kNames{"reading", "open", "writing", "lingering",
                                                            "closed"};
    return std::string{kNames[static_cast<std::size_t>(state_)]};
}

bool HttpSession::nothing_received() {
    if (buffer_.size() > 0 || (parser_ && parser_->got_some()))
        return false;
    return peek(socket_) <= 0;
}

void HttpSession::close_if_idle() {
    if (state_ == State::reading && nothing_received())
        linger(CloseReason::idle_at_shutdown);
}

// Bytes of the request that is being read; bytes still in the socket count as one.
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

}  // namespace silverrail::net

#include "net/http_server.h"

#include <poll.h>

#include "net/peek.h"

namespace silverrail::net {

namespace {
constexpr std::array<std::string_view, kCloseReasons> kReasonNames{
    "answered_last", "client_left", "broken",     "idle_end",      "silent",
    "slow_request",  "evicted",     "unreadable", "write_stalled", "shut_down"};
// An answer that takes longer than this to be written may have had the next request wait behind it.
constexpr std::chrono::milliseconds kWrittenAtOnce{20};
}  // namespace

std::string_view name_of(CloseReason reason) {
    return kReasonNames[static_cast<std::size_t>(reason)];
}

HttpSession::HttpSession(tcp::socket socket, HttpServer& server)
    : socket_(std::move(socket)),
      server_(server),
      limit_(socket_.get_executor()),
      since_(std::chrono::steady_clock::now()) {
    error_code error;
    if (const auto at = socket_.remote_endpoint(error); !error)
        client_ = client_address(at.address());
}

void HttpSession::start() {
    // Guards against silence: one limit from connecting to the end of the first request.
    end_after(server_.limits_.first_request, &HttpSession::too_slow);
    read();
}

void HttpSession::end_after(Limit limit, void (HttpSession::*end)()) {
    limit_.expires_after(limit);
    // A handler that was due already when the limit was set anew must not end what has begun since.
    limit_.async_wait([weak = weak_from_this(), end, set = ++limits_set_](const error_code& error) {
        const auto self = weak.lock();
        if (!error && self && set == self->limits_set_)
            (self.get()->*end)();
    });
}

// The time for a request is over. Guards one whose last bytes are in the socket: the limit's handler may come
// before the read's. Half a request is answered, so that its client can tell; silence is not.
void HttpSession::too_slow() {
    if (state_ != State::reading)
        return;
    if (!std::exchange(looked_again_, true) && peek(socket_) > 0)
        return end_after(server_.limits_.unread, &HttpSession::too_slow);
    if (nothing_came())
        return linger(CloseReason::silent);
    server_.log_.line("slow-request", "half a request, not the rest of it in time");
    last_answer(http::status::request_timeout, CloseReason::slow_request);
}

void HttpSession::read() {
    state_ = State::reading;
    looked_again_ = false;
    seen_ = 0;
    parser_.emplace();
    parser_->header_limit(server_.limits_.header);
    parser_->body_limit(server_.limits_.body);
    buffered_ = buffer_.size();
    if (unread_since_ && buffered_ == 0 && peek(socket_) < 0)
        unread_since_.reset();
    if (buffered_ > 0)
        return on_first_byte();
    // Nothing is held for an idle connection, and no limit runs once it has brought a request.
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
    if (!first_)
        end_after(server_.limits_.half_read, &HttpSession::too_slow);
    // The head by itself: read together with its body, Beast 1.74 loses the error of a length over the limit.
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t consumed) {
                                self->on_head(error, consumed);
                            });
}

void HttpSession::on_head(const error_code& error, std::size_t consumed) {
    if (state_ != State::reading)
        return;
    if (error)
        return unreadable(error);
    // Guards against a request hidden in a body: a coding that is not chunked leaves the length untold.
    if (parser_->get().count(http::field::transfer_encoding) > 0 && !parser_->chunked())
        return unreadable(http::error::bad_transfer_encoding);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), consumed](const error_code& e, std::size_t more) {
                         self->on_read(e, consumed + more);
                     });
}

// When the last of so many bytes came, at the earliest: one that was there already has waited for what was
// before it.
core::Time HttpSession::arrival(std::size_t consumed) const {
    const core::Time seen = server_.loop_.earliest_arrival();
    if (consumed <= buffered_)
        return std::min(buffered_since_, seen);
    return std::min(unread_since_.value_or(seen), seen);
}

void HttpSession::on_read(const error_code& error, std::size_t consumed) {
    if (state_ != State::reading)
        return;
    if (error)
        return unreadable(error);
    arrived_ = arrival(consumed);
    buffered_since_ = arrived_;  // of what came along with it
    // Nothing may be begun for a client that has left while its request waited unread.
    if (client_left()) {
        ++server_.counters_.left_before_taken;
        return close(CloseReason::client_left);
    }
    ++limits_set_;
    limit_.cancel();
    first_ = false;
    HttpRequest request = parser_->release();
    parser_.reset();
    keep_alive_ = request.keep_alive();
    state_ = State::open;
    server_.handler_(shared_from_this(), std::move(request));
    if (state_ == State::open)
        watch();
}

void HttpSession::unreadable(const error_code& error) {
    // Success has the system's category too.
    if (error == http::error::end_of_stream)
        return close(CloseReason::client_left);
    if (error.category() == boost::system::system_category())
        return close(CloseReason::broken);
    // Not HTTP, or over a limit: said once, as the state of the stream is not known any more.
    server_.log_.line("bad-request", "%s", error.message().c_str());
    parser_.reset();
    last_answer(error == http::error::body_limit     ? http::status::payload_too_large
                : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                     : http::status::bad_request,
                CloseReason::unreadable);
}

// An error in place of a request that did not come whole, or is given up; the connection ends with it.
void HttpSession::last_answer(http::status status, CloseReason reason) {
    keep_alive_ = false;
    reason_ = reason;
    state_ = State::open;
    respond({status, 11});
}

// Guards a last answer: closing with bytes unread would reset the connection and may take the answer along.
// What comes after the half-close is read and thrown away: its client sees the end and asks again elsewhere.
void HttpSession::linger(CloseReason reason) {
    if (state_ == State::lingering || state_ == State::closed)
        return;
    if (!reason_)
        reason_ = reason;
    state_ = State::lingering;
    since_ = std::chrono::steady_clock::now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    end_after(server_.limits_.linger, &HttpSession::linger_over);
    discard();
}

// Not into the buffer of this connection: a read that was under way may still use that.
void HttpSession::discard() {
    socket_.async_read_some(asio::buffer(server_.discarded_),
                            [self = shared_from_this()](const error_code& error, std::size_t got) {
                                if (self->state_ != State::lingering)
                                    return;
                                self->discarded_ += got;
                                if (error || self->discarded_ > self->server_.limits_.linger_bytes)
                                    return self->linger_over();
                                self->discard();
                            });
}

// While an answer is owed: has the client gone? What it sends before that is read on, up to a bound, as its
// end would not be seen behind it.
void HttpSession::watch() {
    if (buffer_.size() >= server_.limits_.early) {
        ++server_.counters_.full_of_early_bytes;
        if (!unread_since_)
            unread_since_ = server_.loop_.earliest_arrival();
        return end_after(server_.limits_.look_for_end, &HttpSession::look_for_end);
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& error) { self->on_watch(error); });
}

void HttpSession::on_watch(const error_code& error) {
    if (state_ != State::open || error == asio::error::operation_aborted)
        return;
    const auto got = take_now(socket_, buffer_.prepare(server_.limits_.early - buffer_.size()));
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        return lost();
    if (got > 0 && buffer_.size() == 0)
        buffered_since_ = server_.loop_.earliest_arrival();
    if (got > 0)
        buffer_.commit(static_cast<std::size_t>(got));
    watch();
}

// As much as is read early stands behind the open request. The rest waits in the socket, so that only the
// system can tell whether its client is still there.
void HttpSession::look_for_end() {
    if (state_ != State::open)
        return;
    if (client_left())
        return lost();
    end_after(server_.limits_.look_for_end, &HttpSession::look_for_end);
}

void HttpSession::lost() {
    const auto self = shared_from_this();
    const auto gone = std::exchange(gone_, nullptr);
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
    // Its end may stand behind bytes that nobody has read yet.
    pollfd ended{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&ended, 1, 0) > 0 && (ended.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

bool HttpSession::more_waits() {
    return buffer_.size() > 0 || peek(socket_) > 0;
}

void HttpSession::respond(HttpResponse response) {
    if (state_ == State::writing)
        ++server_.counters_.second_answers;
    if (state_ != State::open)
        return;
    state_ = State::writing;
    gone_ = nullptr;
    // Retiring, the end is said with the last answer that is owed here.
    response.keep_alive(keep_alive_ && (!server_.retiring_ || more_waits()));
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
    end_after(server_.limits_.write, &HttpSession::write_stalled);
    http::async_write_some(socket_, *serializer_,
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                               if (self->state_ != State::writing)
                                   return;
                               if (!error && self->serializer_->is_done())
                                   return self->written();
                               const auto passed = std::chrono::steady_clock::now() - self->since_;
                               // An answer that breaks off is cut short for the client to see: its length was
                               // told.
                               if (error)
                                   return self->close(CloseReason::broken);
                               if (passed > self->server_.limits_.whole_write)
                                   return self->write_stalled();
                               self->write_some();
                           });
}

void HttpSession::written() {
    serializer_.reset();
    response_.reset();
    if (!keep_alive_)
        return linger(CloseReason::answered_last);
    ++limits_set_;
    limit_.cancel();
    const auto began = std::exchange(since_, std::chrono::steady_clock::now());
    // What has come meanwhile was not looked for; it may be as old as the writing.
    if (buffer_.size() == 0 && since_ - began > kWrittenAtOnce)
        read_what_came(core::Time{began.time_since_epoch()});
    read();
    // The answer had promised more: what has come on that word is still served.
    if (server_.stopping_)
        close_if_idle();
}

void HttpSession::read_what_came(core::Time since) {
    const auto got = take_now(socket_, buffer_.prepare(server_.limits_.early));
    if (got <= 0)
        return;
    buffer_.commit(static_cast<std::size_t>(got));
    buffered_since_ = since;
}

void HttpSession::close(CloseReason reason) {
    if (state_ == State::closed)
        return;
    const CloseReason why = reason_.value_or(reason);
    const bool by_client = why == CloseReason::client_left || why == CloseReason::broken;
    if (state_ == State::open && !by_client && why != CloseReason::shut_down)
        ++server_.counters_.closed_unanswered;
    ++server_.counters_.closed[static_cast<std::size_t>(why)];
    state_ = State::closed;
    limit_.cancel();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    server_.sessions_.erase(this);
}

bool HttpSession::nothing_came() {
    if (buffer_.size() > 0 || (parser_ && parser_->got_some()))
        return false;
    return peek(socket_) <= 0;
}

void HttpSession::close_if_idle() {
    if (state_ == State::reading && nothing_came())
        linger(CloseReason::idle_end);
}

// Bytes of the request that is being read, also those that nobody has read yet count.
std::size_t HttpSession::came() {
    std::size_t bytes = buffer_.size();
    if (parser_)
        bytes += parser_->get().body().size() + (parser_->is_header_done() ? 1 : 0);
    if (bytes == 0 && !nothing_came())
        bytes = 1;
    return bytes;
}

limits::ConnectionActivity HttpSession::activity(std::chrono::steady_clock::time_point now) {
    using Phase = limits::ConnectionActivity::Phase;
    limits::ConnectionActivity activity;
    if (state_ != State::reading) {
        activity.phase = state_ == State::lingering ? Phase::closing : Phase::answering;
    } else if (const std::size_t bytes = came(); bytes != std::exchange(seen_, bytes)) {
        since_ = now;
    }
    activity.has_sent_request = !first_;
    activity.request_begun = seen_ > 0;
    activity.idle_for = std::chrono::duration_cast<std::chrono::milliseconds>(now - since_);
    return activity;
}

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits, Handler handler,
                       Log& log)
    : listener_(io, at, limits.port, log),
      loop_(io),
      limits_(limits),
      handler_(std::move(handler)),
      log_(log) {}

HttpServer::~HttpServer() {
    for (auto& [session, weak] : std::exchange(sessions_, {}))
        if (const auto alive = weak.lock())
            alive->close(CloseReason::shut_down);
}

void HttpServer::admit(tcp::socket socket) {
    if (sessions_.size() >= limits_.connections && !make_room()) {
        log_.line("too-many-clients", "%zu connections", sessions_.size());
        return;  // closed
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<HttpSession>(std::move(socket), *this);
    sessions_.emplace(session.get(), session);
    session->start();
}

// Guards usual clients against a flood: the most dispensable connection goes, the stillest one of its kind.
bool HttpServer::make_room() {
    std::shared_ptr<HttpSession> victim;
    std::optional<limits::EvictionClass> kind;
    const auto now = std::chrono::steady_clock::now();
    for (const auto& [session, weak] : sessions_) {
        const auto alive = weak.lock();
        const auto gives = alive ? limits::eviction_class(alive->activity(now)) : std::nullopt;
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
    while (sessions_.size() > most && make_room()) {}
}

void HttpServer::retire() {
    retiring_ = true;
    listener_.stop();
}

void HttpServer::stop() {
    if (std::exchange(stopping_, true))
        return;
    retire();
    auto sessions = sessions_;
    for (auto& [session, weak] : sessions)
        if (const auto alive = weak.lock())
            alive->close_if_idle();
}

}  // namespace silverrail::net

#include "net/listener.h"

#include <cerrno>

namespace silverrail::net {

namespace {
constexpr int kBacklog = 4096;  // the system's own limit may be lower
constexpr std::chrono::milliseconds kRetryDelay{20};
constexpr int kMaxBacklogTries = 20;  // to accept the backlog, kRetryDelay apart
constexpr int kMaxAborted = 4096;     // failed connections skipped in one try
}  // namespace

Listener::Listener(asio::io_context& io, const tcp::endpoint& at, Port port, Log& log)
    : io_(io), acceptor_(io), retry_timer_(io), port_(port), log_(log) {
    acceptor_.open(at.protocol());
    // Aborted connections are reported as errors, so that the loop accepts the next connection. Otherwise
    // Asio would wait for another one to arrive, and leave those in the backlog there.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    if (port == Port::shared)
        allow_sharing(acceptor_);
    acceptor_.bind(at);
}

void Listener::start(AcceptHandler on_accept) {
    on_accept_ = std::move(on_accept);
    acceptor_.listen(kBacklog);
    acceptor_.non_blocking(true);
    if (port_ == Port::shared)
        route_to_latest(acceptor_.native_handle(), log_);
    accept();
}

void Listener::accept() {
    acceptor_.async_accept(
        [this](const error_code& error, tcp::socket socket) { handle_accept(error, std::move(socket)); });
}

Listener::AcceptError Listener::classify(const error_code& error) {
    if (error == asio::error::would_block || error == asio::error::try_again)
        return AcceptError::backlog_empty;
    // Errors of the accepted connection itself, as listed in accept(2).
    for (const int connection_error : {ECONNABORTED, EPROTO, EINTR, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET,
                                       EHOSTUNREACH, ENETUNREACH, ETIMEDOUT})
        if (error.value() == connection_error)
            return AcceptError::connection_failed;
    return AcceptError::out_of_resources;
}

void Listener::handle_accept(const error_code& error, tcp::socket socket) {
    if (error == asio::error::operation_aborted)
        return;
    // A connection accepted in the same iteration of the event loop as the stop is still handled.
    if (stopping_ && error)
        return;
    if (error && classify(error) == AcceptError::out_of_resources) {
        on_out_of_resources(error);
        return pause(&Listener::accept);
    }
    if (error) {
        ++counters_.aborted;
    } else {
        ++counters_.accepted;
        on_accept_(std::move(socket));
    }
    if (!stopping_)
        accept();
}

// Frees some descriptors. The connection stays in the backlog, and the caller pauses.
void Listener::on_out_of_resources(const error_code& error) {
    ++counters_.pauses;
    log_.line("no-descriptors", "cannot accept a connection: %s", error.message().c_str());
    if (free_descriptors_)
        free_descriptors_();
}

void Listener::pause(void (Listener::*then)()) {
    retry_timer_.expires_after(kRetryDelay);
    retry_timer_.async_wait([this, then](const error_code& error) {
        if (!error)
            (this->*then)();
    });
}

void Listener::stop() {
    if (std::exchange(stopping_, true))
        return;
    backlog_tries_left_ = kMaxBacklogTries;
    retry_timer_.cancel();
    accept_backlog();
}

void Listener::accept_backlog() {
    if (closed())
        return;
    for (int skipped = 0; on_accept_ && skipped < kMaxAborted;) {
        error_code error;
        tcp::socket socket{io_};
        acceptor_.accept(socket, error);
        const AcceptError accept_error = error ? classify(error) : AcceptError::backlog_empty;
        if (!error) {
            ++counters_.accepted;
            on_accept_(std::move(socket));
        } else if (accept_error == AcceptError::connection_failed) {
            ++counters_.aborted;
            ++skipped;
        } else if (accept_error == AcceptError::out_of_resources && --backlog_tries_left_ > 0) {
            on_out_of_resources(error);
            return pause(&Listener::accept_backlog);
        } else {
            break;
        }
    }
    close();
}

void Listener::close() {
    error_code ignored;
    acceptor_.close(ignored);
}

}  // namespace silverrail::net

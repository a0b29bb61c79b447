#include "net/line_server.h"

#include <algorithm>

#include "net/peek.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

struct LineServer::Caller {
    enum class State { reading, writing, lingering, closed };
    Caller(asio::io_context& io, tcp::socket s) : socket(std::move(s)), limit(io) {}
    // It is about to be served, so it is not evicted.
    bool has_unread_bytes() {
        return peek(socket) > 0;
    }
    TcpStream socket;
    asio::steady_timer limit;
    std::string line;
    std::string answer;
    std::size_t discarded = 0;
    State state = State::reading;
};

LineServer::LineServer(asio::io_context& io, const tcp::endpoint& at, LineLimits limits, Handler handler,
                       Log& log)
    : io_(io),
      listener_(io, at, Listener::Port::exclusive, log),
      limits_(limits),
      handler_(std::move(handler)) {}

LineServer::~LineServer() {
    while (!callers_.empty())
        close(std::shared_ptr{callers_.front()});
}

void LineServer::start() {
    listener_.start([this](tcp::socket socket) { on_accept(std::move(socket)); });
}

void LineServer::on_accept(tcp::socket socket) {
    if (callers_.size() >= limits_.connections)
        evict_caller();
    error_code ignored;
    socket.non_blocking(true, ignored);
    const auto caller = std::make_shared<Caller>(io_, std::move(socket));
    callers_.push_back(caller);
    set_timeout(caller, limits_.total_timeout);
    read(caller);
}

// Evicts first a caller that has had its answer, then the longest silent one.
void LineServer::evict_caller() {
    using State = Caller::State;
    auto at = std::find_if(callers_.begin(), callers_.end(),
                           [](const auto& c) { return c->state == State::lingering; });
    if (at == callers_.end())
        at = std::find_if(callers_.begin(), callers_.end(),
                          [](const auto& c) { return c->state == State::reading && !c->has_unread_bytes(); });
    if (at == callers_.end())
        at = callers_.begin();
    close(std::shared_ptr{*at});
}

void LineServer::set_timeout(const std::shared_ptr<Caller>& caller, std::chrono::milliseconds limit) {
    caller->limit.expires_after(limit);
    caller->limit.async_wait([this, weak = std::weak_ptr{caller}](const error_code& error) {
        if (error)
            return;
        if (const auto alive = weak.lock())
            close(alive);
    });
}

void LineServer::read(const std::shared_ptr<Caller>& caller) {
    asio::async_read_until(caller->socket, asio::dynamic_buffer(caller->line, limits_.line), '\n',
                           [this, caller](const error_code& error, std::size_t) {
                               if (caller->state != Caller::State::reading)
                                   return;
                               if (!error)
                                   return on_line(caller, true);
                               const bool complete_input =
                                   error == asio::error::not_found || error == asio::error::eof;
                               // No line came that could be answered.
                               if (!complete_input || caller->line.empty())
                                   return close(caller);
                               on_line(caller, false);
                           });
}

void LineServer::on_line(const std::shared_ptr<Caller>& caller, bool terminated) {
    // One line a connection: what follows it is discarded.
    const std::size_t end = terminated ? caller->line.find('\n') : caller->line.size();
    caller->answer = handler_(std::string_view{caller->line}.substr(0, end), terminated);
    caller->state = Caller::State::writing;
    asio::async_write(caller->socket, asio::buffer(caller->answer),
                      [this, caller](const error_code& error, std::size_t) {
                          if (caller->state != Caller::State::writing)
                              return;
                          if (error)
                              return close(caller);
                          // Closing with bytes unread would reset the connection and may take the answer
                          // along.
                          caller->state = Caller::State::lingering;
                          error_code ignored;
                          caller->socket.shutdown(tcp::socket::shutdown_send, ignored);
                          set_timeout(caller, limits_.linger_timeout);
                          discard(caller);
                      });
}

void LineServer::discard(const std::shared_ptr<Caller>& caller) {
    caller->line.resize(limits_.line);
    caller->socket.async_read_some(asio::buffer(caller->line),
                                   [this, caller](const error_code& error, std::size_t got) {
                                       if (caller->state != Caller::State::lingering)
                                           return;
                                       caller->discarded += got;
                                       if (error || caller->discarded > limits_.max_linger_bytes)
                                           return close(caller);
                                       discard(caller);
                                   });
}

void LineServer::close(const std::shared_ptr<Caller>& caller) {
    if (std::exchange(caller->state, Caller::State::closed) == Caller::State::closed)
        return;
    caller->limit.cancel();
    error_code ignored;
    caller->socket.close(ignored);
    callers_.remove(caller);
}

}  // namespace silverrail::net

#include "net/line_server.h"

#include <algorithm>

#include "net/peek.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

struct LineServer::Caller {
    enum class State { reading, writing, lingering, closed };
    Caller(asio::io_context& io, tcp::socket s) : socket(std::move(s)), limit(io) {}
    // Bytes that nobody has read yet: it is about to be served, and does not give way.
    bool something_came() {
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
    : io_(io), listener_(io, at, Listener::Port::alone, log), limits_(limits), handler_(std::move(handler)) {}

LineServer::~LineServer() {
    while (!callers_.empty())
        close(std::shared_ptr{callers_.front()});
}

void LineServer::start() {
    listener_.start([this](tcp::socket socket) { admit(std::move(socket)); });
}

void LineServer::admit(tcp::socket socket) {
    if (callers_.size() >= limits_.connections)
        make_room();
    error_code ignored;
    socket.non_blocking(true, ignored);
    const auto caller = std::make_shared<Caller>(io_, std::move(socket));
    callers_.push_back(caller);
    end_after(caller, limits_.whole);
    read(caller);
}

// Never the new caller: first who has had its answer, then who has been silent longest, whole or half a call.
void LineServer::make_room() {
    using State = Caller::State;
    auto at = std::find_if(callers_.begin(), callers_.end(),
                           [](const auto& c) { return c->state == State::lingering; });
    if (at == callers_.end())
        at = std::find_if(callers_.begin(), callers_.end(),
                          [](const auto& c) { return c->state == State::reading && !c->something_came(); });
    if (at == callers_.end())
        at = callers_.begin();
    close(std::shared_ptr{*at});
}

void LineServer::end_after(const std::shared_ptr<Caller>& caller, std::chrono::milliseconds limit) {
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
                               const bool told = error == asio::error::not_found || error == asio::error::eof;
                               // Nothing was asked: there is no line to answer.
                               if (!told || caller->line.empty())
                                   return close(caller);
                               on_line(caller, false);
                           });
}

void LineServer::on_line(const std::shared_ptr<Caller>& caller, bool ended) {
    // One line a connection: what follows it is read and thrown away.
    const std::size_t end = ended ? caller->line.find('\n') : caller->line.size();
    caller->answer = handler_(std::string_view{caller->line}.substr(0, end), ended);
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
                          end_after(caller, limits_.linger);
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
                                       if (error || caller->discarded > limits_.linger_bytes)
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

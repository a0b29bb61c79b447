#include "net/line_server.h"

#include <algorithm>

#include "net/peek.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

struct LineServer::Connection {
    enum class State { reading, writing, lingering, closed };
    Connection(asio::io_context& io, tcp::socket s) : socket(std::move(s)), timer(io) {}
    // If so, it is about to get its response and not evicted if another can be.
    bool has_unread_bytes() {
        return peek(socket) > 0;
    }
    TcpStream socket;
    asio::steady_timer timer;
    std::string line;
    std::string response;
    std::size_t discarded = 0;
    State state = State::reading;
};

LineServer::LineServer(asio::io_context& io, const tcp::endpoint& at, LineLimits limits, Handler handler,
                       Log& log)
    : io_(io), listener_(io, at, Port::exclusive, log), limits_(limits), handler_(std::move(handler)) {}

LineServer::~LineServer() {
    while (!connections_.empty())
        close(std::shared_ptr{connections_.front()});
}

void LineServer::start() {
    listener_.start([this](tcp::socket socket) { on_accept(std::move(socket)); });
}

void LineServer::on_accept(tcp::socket socket) {
    if (connections_.size() >= limits_.connections)
        evict_connection();
    error_code ignored;
    socket.non_blocking(true, ignored);
    const auto connection = std::make_shared<Connection>(io_, std::move(socket));
    connections_.push_back(connection);
    set_timeout(connection, limits_.total_timeout);
    read(connection);
}

// Evicts a connection that has had its response; else the oldest one without unread bytes; else the oldest.
void LineServer::evict_connection() {
    using State = Connection::State;
    auto at = std::find_if(connections_.begin(), connections_.end(),
                           [](const auto& c) { return c->state == State::lingering; });
    if (at == connections_.end())
        at = std::find_if(connections_.begin(), connections_.end(),
                          [](const auto& c) { return c->state == State::reading && !c->has_unread_bytes(); });
    if (at == connections_.end())
        at = connections_.begin();
    close(std::shared_ptr{*at});
}

void LineServer::set_timeout(const ConnectionPointer& connection, std::chrono::milliseconds timeout) {
    connection->timer.expires_after(timeout);
    connection->timer.async_wait([this, weak = std::weak_ptr{connection}](const error_code& error) {
        if (error)
            return;
        if (const auto alive = weak.lock())
            close(alive);
    });
}

void LineServer::read(const ConnectionPointer& connection) {
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->line, limits_.line), '\n',
                           [this, connection](const error_code& error, std::size_t) {
                               if (connection->state != Connection::State::reading)
                                   return;
                               if (!error)
                                   return on_line(connection, true);
                               const bool input_ended =
                                   error == asio::error::not_found || error == asio::error::eof;
                               // There is no line to respond to.
                               if (!input_ended || connection->line.empty())
                                   return close(connection);
                               on_line(connection, false);
                           });
}

void LineServer::on_line(const ConnectionPointer& connection, bool terminated) {
    // Only the first line is handled; anything after it is discarded.
    const std::size_t end = terminated ? connection->line.find('\n') : connection->line.size();
    connection->response = handler_(std::string_view{connection->line}.substr(0, end), terminated);
    connection->state = Connection::State::writing;
    asio::async_write(connection->socket, asio::buffer(connection->response),
                      [this, connection](const error_code& error, std::size_t) {
                          if (connection->state != Connection::State::writing)
                              return;
                          if (error)
                              return close(connection);
                          // Closing with unread bytes would reset the connection, and the response
                          // might be lost.
                          connection->state = Connection::State::lingering;
                          error_code ignored;
                          connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
                          set_timeout(connection, limits_.linger_timeout);
                          discard(connection);
                      });
}

void LineServer::discard(const ConnectionPointer& connection) {
    connection->line.resize(limits_.line);
    connection->socket.async_read_some(asio::buffer(connection->line),
                                       [this, connection](const error_code& error, std::size_t got) {
                                           if (connection->state != Connection::State::lingering)
                                               return;
                                           connection->discarded += got;
                                           if (error || connection->discarded > limits_.max_linger_bytes)
                                               return close(connection);
                                           discard(connection);
                                       });
}

void LineServer::close(const ConnectionPointer& connection) {
    if (std::exchange(connection->state, Connection::State::closed) == Connection::State::closed)
        return;
    connection->timer.cancel();
    error_code ignored;
    connection->socket.close(ignored);
    connections_.remove(connection);
}

}  // namespace silverrail::net

#include "lab/discovery_server.h"

#include <chrono>

#include "config/json_text.h"
#include "lab/stand_in_support.h"

namespace silverrail::lab {

namespace asio = net::asio;
namespace http = net::http;
using net::error_code;
using net::tcp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxEvents = 100'000;
constexpr auto kHeartbeatInterval = 500ms;

}  // namespace

struct DiscoveryServer::Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    net::beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    std::int64_t next_number = 0;
    std::string in_write;  // empty: nothing is being written
    std::string queued;
};

DiscoveryServer::DiscoveryServer(asio::io_context& io)
    : acceptor_(io, loopback_endpoint()), heartbeat_timer_(io) {
    accept();
    send_heartbeats();
}

DiscoveryServer::~DiscoveryServer() {
    error_code ignored;
    acceptor_.close(ignored);
    heartbeat_timer_.cancel();
    for (const ConnectionPointer& connection : connections_)
        connection->socket.close(ignored);
}

std::string DiscoveryServer::address() const {
    return address_text(acceptor_.local_endpoint());
}

void DiscoveryServer::publish(Json::Value event) {
    if (events_.size() >= kMaxEvents) {
        events_.pop_front();
        ++first_number_;
    }
    event["no"] = Json::Int64{last_number() + 1};
    events_.push_back(config::json_line(event));
    for (const ConnectionPointer& connection : connections_)
        write(connection);
}

void DiscoveryServer::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error)
            return;
        read_request(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void DiscoveryServer::read_request(const ConnectionPointer& connection) {
    http::async_read(connection->socket, connection->buffer, connection->request,
                     [this, connection](const error_code& error, std::size_t) {
                         if (!error)
                             start_stream(connection);
                     });
}

void DiscoveryServer::start_stream(const ConnectionPointer& connection) {
    connection->next_number = header_number(connection->request["Last-Event-ID"]) + 1;
    connection->queued = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
    connections_.insert(connection);
    write(connection);
}

void DiscoveryServer::add_new_events(Connection& connection) const {
    for (; connection.next_number <= last_number(); ++connection.next_number) {
        if (connection.next_number < first_number_)
            continue;
        const auto& event = events_[static_cast<std::size_t>(connection.next_number - first_number_)];
        connection.queued += "id: " + std::to_string(connection.next_number) + "\ndata: " + event + "\n\n";
    }
}

void DiscoveryServer::write(const ConnectionPointer& connection) {
    add_new_events(*connection);
    if (!connection->in_write.empty() || connection->queued.empty())
        return;
    connection->in_write = std::exchange(connection->queued, {});
    asio::async_write(connection->socket, asio::buffer(connection->in_write),
                      [this, connection](const error_code& error, std::size_t) {
                          connection->in_write.clear();
                          if (error)
                              connections_.erase(connection);
                          else if (connections_.contains(connection))
                              write(connection);
                      });
}

// Comments of the stream: a watcher takes silence for a broken connection.
void DiscoveryServer::send_heartbeats() {
    heartbeat_timer_.expires_after(kHeartbeatInterval);
    heartbeat_timer_.async_wait([this](const error_code& error) {
        if (error)
            return;
        for (const ConnectionPointer& connection : connections_) {
            connection->queued += ": still here\n\n";
            write(connection);
        }
        send_heartbeats();
    });
}

}  // namespace silverrail::lab

// A stand-in for service discovery on loopback: a stream of numbered events to every router that watches it.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>

#include "net/asio.h"

namespace silverrail::lab {

// Listens at a port that the system chooses, from its construction on. Sends each watcher the events after
// the last one that it has. Runs on the thread of `io`; the handlers that are pending when it is destroyed
// must not run.
class DiscoveryServer {
public:
    // Throws boost::system::system_error if it can't listen.
    explicit DiscoveryServer(net::asio::io_context& io);
    ~DiscoveryServer();
    DiscoveryServer(const DiscoveryServer&) = delete;
    DiscoveryServer& operator=(const DiscoveryServer&) = delete;

    // ADDRESS:PORT
    std::string address() const;
    // Events are numbered from the one after `number`. To be called before the first publish().
    void number_events_after(std::int64_t number) {
        first_number_ = number + 1;
    }
    // Gives the event the next number and sends it to all watchers. The last 100,000 are kept for later ones.
    void publish(Json::Value event);

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    std::int64_t last_number() const {
        return first_number_ + static_cast<std::int64_t>(events_.size()) - 1;
    }
    void accept();
    void read_request(const ConnectionPointer& connection);
    void start_stream(const ConnectionPointer& connection);
    void add_new_events(Connection& connection) const;
    void write(const ConnectionPointer& connection);
    void send_heartbeats();

    net::tcp::acceptor acceptor_;
    net::asio::steady_timer heartbeat_timer_;
    std::int64_t first_number_ = 1;  // of events_.front()
    std::deque<std::string> events_;
    std::set<ConnectionPointer> connections_;
};

}  // namespace silverrail::lab

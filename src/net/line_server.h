// The server of the control address: on each connection it reads one line and sends one response. It limits
// bytes, times and the number of connections; a connection that has sent nothing is evicted for a new one.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/listener.h"

namespace silverrail::net {

struct LineLimits {
    std::size_t connections = 16;
    std::size_t line = 256;                          // bytes, including the newline
    std::chrono::milliseconds total_timeout{6'000};  // from connecting to the end of the response
    std::chrono::milliseconds linger_timeout{500};   // for the client to close after its response
    std::size_t max_linger_bytes = 64UL * 1024;
};

class LineServer {
public:
    // Returns the response to a line, which is passed without its newline. `terminated`: it had one;
    // otherwise the client has ended its side of the stream, or the line has reached the size limit.
    using Handler = std::function<std::string(std::string_view line, bool terminated)>;

    // Binds at once; throws boost::system::system_error if it cannot.
    LineServer(asio::io_context& io, const tcp::endpoint& at, LineLimits limits, Handler handler, Log& log);
    ~LineServer();
    void start();
    tcp::endpoint local() const {
        return listener_.local();
    }
    std::size_t connections() const {
        return connections_.size();
    }
    // Called when the process runs out of descriptors, to free some.
    void when_out_of_descriptors(std::function<void()> action) {
        listener_.when_out_of_descriptors(std::move(action));
    }

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;
    void on_accept(tcp::socket socket);
    void evict_connection();
    void read(const ConnectionPointer& connection);
    void on_line(const ConnectionPointer& connection, bool terminated);
    void discard(const ConnectionPointer& connection);
    void set_timeout(const ConnectionPointer& connection, std::chrono::milliseconds timeout);
    void close(const ConnectionPointer& connection);

    asio::io_context& io_;
    Listener listener_;
    LineLimits limits_;
    Handler handler_;
    std::list<ConnectionPointer> connections_;  // oldest first
};

}  // namespace silverrail::net

// A server that answers one line a connection: the control address's protocol. Bounded in bytes, time and
// number; a silent caller is evicted for a new one.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/listener.h"

namespace silverrail::net {

struct LineLimits {
    std::size_t connections = 16;
    std::size_t line = 256;                          // bytes, with its end
    std::chrono::milliseconds total_timeout{6'000};  // from connecting to the end of the answer
    std::chrono::milliseconds linger_timeout{500};   // for the caller to close after its answer
    std::size_t max_linger_bytes = 64UL * 1024;
};

class LineServer {
public:
    // Returns the answer to a line, which is given without its end. `terminated`: it had one; else the caller
    // has closed or the limit was reached.
    using Handler = std::function<std::string(std::string_view line, bool terminated)>;

    // Binds at once; throws boost::system::system_error if it cannot.
    LineServer(asio::io_context& io, const tcp::endpoint& at, LineLimits limits, Handler handler, Log& log);
    ~LineServer();
    void start();
    tcp::endpoint local() const {
        return listener_.local();
    }
    std::size_t connections() const {
        return callers_.size();
    }
    void when_out_of_descriptors(std::function<void()> action) {
        listener_.when_out_of_descriptors(std::move(action));
    }

private:
    struct Caller;
    using Callers = std::list<std::shared_ptr<Caller>>;  // the longest connected first
    void on_accept(tcp::socket socket);
    void evict_caller();
    void read(const std::shared_ptr<Caller>& caller);
    void on_line(const std::shared_ptr<Caller>& caller, bool terminated);
    void discard(const std::shared_ptr<Caller>& caller);
    void set_timeout(const std::shared_ptr<Caller>& caller, std::chrono::milliseconds limit);
    void close(const std::shared_ptr<Caller>& caller);

    asio::io_context& io_;
    Listener listener_;
    LineLimits limits_;
    Handler handler_;
    Callers callers_;
};

}  // namespace silverrail::net

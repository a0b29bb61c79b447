// One line in, one answer out, then the connection ends: the wire of the second address. Bounded in bytes, in
// time and in number; a caller that stays silent gives way to a new one.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/listener.h"

namespace silverrail::net {

struct LineLimits {
    std::size_t connections = 16;
    std::size_t line = 256;                  // with its end
    std::chrono::milliseconds whole{6'000};  // from connecting to the end of the answer
    std::chrono::milliseconds linger{500};   // for the caller to close after its answer
    std::size_t linger_bytes = 64 * 1024;
};

class LineServer {
public:
    // The answer to a line without its end. `ended`: it had one; without, the caller has closed or the bound
    // was reached.
    using Handler = std::function<std::string(std::string_view line, bool ended)>;

    // Takes the address at once; throws boost::system::system_error if it cannot.
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
    void admit(tcp::socket socket);
    void make_room();
    void read(const std::shared_ptr<Caller>& caller);
    void on_line(const std::shared_ptr<Caller>& caller, bool ended);
    void discard(const std::shared_ptr<Caller>& caller);
    void end_after(const std::shared_ptr<Caller>& caller, std::chrono::milliseconds limit);
    void close(const std::shared_ptr<Caller>& caller);

    asio::io_context& io_;
    Listener listener_;
    LineLimits limits_;
    Handler handler_;
    Callers callers_;
};

}  // namespace silverrail::net

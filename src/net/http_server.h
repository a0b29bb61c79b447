// The HTTP/1.1 server for clients. It handles one request at a time on a connection, and limits bytes, times
// and the number of connections.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>

#include "limits/memory_budget.h"
#include "log/log.h"
#include "net/asio.h"
#include "net/event_loop_monitor.h"
#include "net/http_session.h"
#include "net/listener.h"

namespace silverrail::net {

struct HttpLimits {
    std::uint32_t header = 8U * 1024;  // bytes
    std::uint64_t body = 64UL * 1024;  // bytes
    // Bytes received and not parsed yet. Bounds a chunk's extensions and trailers too, which are parsed only
    // once complete. Must not be less than `header` and `read_ahead`.
    std::size_t unparsed = 16UL * 1024;
    std::size_t connections = 400;
    // A client that fails to send a request must see the connection closed within 3 s of connecting.
    std::chrono::milliseconds first_request_timeout{2'500};  // from connecting to the request's last byte
    std::chrono::milliseconds request_timeout{2'500};        // from a later request's first byte to its last
    // Added to such a timeout to read bytes that have arrived but were not read yet.
    std::chrono::milliseconds unread_grace{50};
    std::size_t read_ahead = 8UL * 1024;                      // bytes read after the open request
    std::chrono::milliseconds disconnect_check_interval{40};  // while the read-ahead is full
    std::chrono::milliseconds write_stall_timeout{6'000};     // without any progress in writing a response
    std::chrono::milliseconds write_stall_without_memory{1'000};  // the same, while memory is short
    std::chrono::milliseconds write_timeout{60'000};              // for a whole response
    std::chrono::milliseconds linger_timeout{500};  // for discarding input after the last response
    std::size_t max_linger_bytes = 1UL << 20;
    Port port = Port::exclusive;
};

struct HttpCounters {
    std::array<std::uint64_t, kCloseReasons> closed{};
    std::uint64_t read_ahead_full = 0;               // open requests after which the read-ahead filled up
    std::uint64_t bodies_discarded = 0;              // for lack of memory
    std::uint64_t disconnected_before_handling = 0;  // requests whose client had left when they were complete
    // Violations: a connection closed without a response to its open request although the client had not
    // disconnected; a second response to one request.
    std::uint64_t closed_unanswered = 0;
    std::uint64_t duplicate_responses = 0;
    std::uint64_t violations() const {
        return closed_unanswered + duplicate_responses;
    }
};

class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpSession>, HttpRequest)>;

    // Binds at once; throws boost::system::system_error if it cannot. Of a request's header, only the fields
    // in `stored_fields` are passed to `handler`. `stored_fields` and `memory` must outlive the server.
    HttpServer(asio::io_context& io, const tcp::endpoint& at, HttpLimits limits, FieldNames stored_fields,
               Handler handler, limits::MemoryBudget& memory, Log& log);
    ~HttpServer();
    void start() {
        listener_.start([this](tcp::socket socket) { admit(std::move(socket)); });
    }
    // Changes the limit on open connections, and evicts connections without an open request that exceed it.
    void limit_connections(std::size_t max);
    // Discards bodies of incomplete requests, those that began first, while `memory` is exceeded. Closes
    // connections whose clients have stopped reading a response, while less than `bytes` are available.
    void release_memory(std::size_t bytes);
    // Accepts the connections in the backlog and no more; each open connection is closed after its next
    // response.
    void stop_accepting();
    // Graceful shutdown: stops accepting, closes idle connections, and others after their response.
    void stop();
    tcp::endpoint local() const {
        return listener_.local();
    }
    // No connection is open and none can be accepted any more.
    bool done() const {
        return listener_.closed() && sessions_.empty();
    }
    const Listener::Counters& listener_counters() const {
        return listener_.counters();
    }
    const HttpCounters& counters() const {
        return counters_;
    }
    const EventLoopMonitor& event_loop() const {
        return loop_monitor_;
    }
    std::size_t connections() const {
        return sessions_.size();
    }
    // Called when the process runs out of descriptors, to free some.
    void when_out_of_descriptors(std::function<void()> action) {
        listener_.when_out_of_descriptors(std::move(action));
    }

private:
    friend class HttpSession;
    void admit(tcp::socket socket);
    bool evict_connection();
    bool reserve_for_body(const HttpSession& session, limits::MemoryReservation& reservation,
                          std::size_t bytes);
    std::shared_ptr<HttpSession> oldest_incomplete_body() const;
    void discard_body(HttpSession& session);
    std::shared_ptr<HttpSession> longest_stalled_writer() const;

    Listener listener_;
    EventLoopMonitor loop_monitor_;
    HttpCounters counters_;
    HttpLimits limits_;
    FieldNames stored_fields_;
    Handler handler_;
    limits::MemoryBudget& memory_;
    Log& log_;
    std::map<HttpSession*, std::weak_ptr<HttpSession>> sessions_;
    std::array<char, 16UL * 1024> discarded_{};  // receives the input that is discarded while lingering
    bool accepting_stopped_ = false;
    bool stopping_ = false;
};

}  // namespace silverrail::net

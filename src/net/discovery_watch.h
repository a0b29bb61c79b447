// Client of service discovery's event stream: connects, resumes after the last event that was applied, and
// reconnects with backoff when the stream ends or delivers nothing more.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "log/log.h"
#include "net/asio.h"
#include "net/backoff.h"
#include "net/sse_parser.h"

namespace silverrail::net {

class DiscoveryWatch {
public:
    // Applies an event. Returns false if it cannot be parsed.
    using EventHandler = std::function<bool(std::int64_t number, std::string_view data)>;
    struct Counters {
        std::uint64_t connects = 0;
        std::uint64_t unreadable = 0;  // events that could not be parsed, counted on every delivery
        std::uint64_t gaps = 0;        // gaps in the event numbers, counted on every delivery
        std::uint64_t slow = 0;        // connections without a line of response within kSilenceTimeout
    };
    // The server sends a comment every second; a connection that brings no complete line for this long is
    // considered dead. Incomplete lines do not count, as a stream that never ends a line delivers no event.
    static constexpr std::chrono::milliseconds kSilenceTimeout{1800};

    // `last_event`: number of the last applied event; the stream resumes after it.
    DiscoveryWatch(asio::io_context& io, tcp::endpoint server, std::int64_t last_event, EventHandler on_event,
                   Log& log, std::uint64_t seed);
    ~DiscoveryWatch();
    // `action` is called, with the arrival of the response header, when the stream has been open for long
    // enough that missed events have usually been delivered. Nothing in the stream tells whether they all
    // have been.
    void when_live(std::function<void(std::chrono::steady_clock::time_point opened)> action) {
        on_live_ = std::move(action);
    }
    // `action` is called when a live stream is interrupted, with the arrival of its last complete line.
    void when_interrupted(std::function<void(std::chrono::steady_clock::time_point last_line)> action) {
        on_interrupted_ = std::move(action);
    }
    // `action` is called when events are skipped for good, as the server has left them out, or sent them in
    // an unreadable form, twice.
    void when_events_lost(std::function<void()> action) {
        on_events_lost_ = std::move(action);
    }
    void start() {
        connect();
    }
    // Reconnects to another address; the numbering of the events continues.
    void move_to(const tcp::endpoint& server);
    std::int64_t last_event() const {
        return last_event_;
    }
    // False while it waits to reconnect.
    bool connected() const {
        return current_ != nullptr;
    }
    const Counters& counters() const {
        return counters_;
    }
    // Upper bound of the time for which an event that arrives now was withheld by an interruption. Missed
    // events are expected within kMaxCatchUpTime of the stream's becoming live.
    std::chrono::steady_clock::duration max_event_delay() const;

private:
    struct Connection;
    using ConnectionPointer = std::shared_ptr<Connection>;

    void connect();
    void reconnect_after_backoff();
    void send_request(const ConnectionPointer& connection);
    void read_response_header(const ConnectionPointer& connection);
    void on_response_header(const ConnectionPointer& connection);
    void start_response_timer(const ConnectionPointer& connection);
    void on_slow_response(const ConnectionPointer& connection);
    void close_second_oldest();
    void select(const ConnectionPointer& connection);
    void read_events(const ConnectionPointer& connection);
    void on_bytes(const ConnectionPointer& connection, const error_code& error);
    void on_line(const ConnectionPointer& connection);
    void on_event(const ConnectionPointer& connection, const SseParser::Event& event);
    bool refetch(const ConnectionPointer& connection, std::int64_t number, const char* reason);
    void restart_silence_timer(const ConnectionPointer& connection);
    void fail(const ConnectionPointer& connection, const char* reason);
    void set_live(std::chrono::steady_clock::time_point opened);
    void set_interrupted();
    bool is_catch_up_over(std::chrono::steady_clock::time_point now) const;
    static void close_all(const std::vector<ConnectionPointer>& connections);

    asio::io_context& io_;
    tcp::endpoint server_;
    std::int64_t last_event_;
    EventHandler on_event_;
    Log& log_;
    asio::steady_timer reconnect_timer_;
    ConnectionPointer current_;  // the one that is read or being opened; null: waiting to reconnect
    std::vector<ConnectionPointer> unanswered_;  // earlier ones still without a line, oldest first
    Backoff backoff_;
    std::function<void(std::chrono::steady_clock::time_point)> on_live_;
    std::function<void(std::chrono::steady_clock::time_point)> on_interrupted_;
    std::function<void()> on_events_lost_;
    bool live_ = false;
    std::chrono::steady_clock::time_point live_since_{};
    std::chrono::steady_clock::time_point last_line_{};
    std::chrono::steady_clock::time_point interrupted_at_ = std::chrono::steady_clock::now();
    // The last event that was requested again; if it is bad twice, it is skipped.
    std::int64_t refetched_event_ = 0;
    Counters counters_;
};

}  // namespace silverrail::net

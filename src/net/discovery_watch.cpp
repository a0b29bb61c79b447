#include "net/discovery_watch.h"

#include <algorithm>
#include <array>

#include "config/number.h"
#include "net/parse_buffer.h"
#include "net/tcp_stream.h"

namespace silverrail::net {

namespace {

constexpr std::chrono::milliseconds kFirstBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{500};
constexpr std::chrono::milliseconds kConnectTimeout{1000};

// Under load the server responds slowly, and a request that is abandoned and repeated at each timeout would
// never get a response. So connections without a response are kept open beside the next one: this many, which
// keeps each for longer than it takes until events count as told (7 s), and the oldest up to this age.
constexpr std::size_t kMaxUnanswered = 5;
constexpr std::chrono::seconds kMaxResponseTime{60};

// Missed events usually follow right after the response header, so a stream counts as live with the first
// line that arrives later than this. It proves nothing: missed events may arrive at any later time. Counted
// from the response header and not from the request, as a slow response would use the time up.
constexpr std::chrono::milliseconds kUsualCatchUpTime{300};

// Only bounds the plausible age of an event. A server that is slower makes its late events look implausible,
// which is the safe side.
constexpr std::chrono::seconds kMaxCatchUpTime{60};

constexpr std::size_t kChunkBytes = 16UL * 1024;
constexpr unsigned kHttp11 = 11;
constexpr const char* kStreamPath = "/bulletins";
constexpr const char* kResumeAfter = "Last-Event-ID";

// Returns 0 if the id is not a number.
std::int64_t parse_event_number(const std::string& id) {
    return config::parse_number<std::int64_t>(id).value_or(0);
}

}  // namespace

struct DiscoveryWatch::Connection {
    explicit Connection(asio::io_context& io) : socket(io), timeout(io) {
        parser.body_limit(boost::none);
    }
    void close() {
        closed = true;
        timeout.cancel();
        error_code ignored;
        socket.close(ignored);
    }
    TcpStream socket;
    asio::steady_timer timeout;
    http::request<http::empty_body> request;
    ParseBuffer buffer;
    http::response_parser<http::buffer_body> parser;
    std::array<char, kChunkBytes> chunk{};
    SseParser events;
    std::chrono::steady_clock::time_point response_header_at{};
    bool selected = false;  // the one that is read, since its first complete line
    bool closed = false;
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, tcp::endpoint server, std::int64_t last_event,
                               EventHandler on_event, Log& log, std::uint64_t seed)
    : io_(io),
      server_(std::move(server)),
      last_event_(last_event),
      on_event_(std::move(on_event)),
      log_(log),
      reconnect_timer_(io),
      backoff_(kFirstBackoff, kMaxBackoff, seed) {}

DiscoveryWatch::~DiscoveryWatch() {
    if (current_)
        current_->close();
    close_all(std::exchange(unanswered_, {}));
}

void DiscoveryWatch::move_to(const tcp::endpoint& server) {
    if (server == server_)
        return;
    server_ = server;
    set_interrupted();
    // Closed at once, even in the middle of an event: the old server may keep the connection open and send
    // nothing more.
    if (const auto old = std::exchange(current_, nullptr))
        old->close();
    close_all(std::exchange(unanswered_, {}));
    reconnect_timer_.cancel();
    backoff_.reset();
    connect();
}

void DiscoveryWatch::connect() {
    ++counters_.connects;
    const auto connection = current_ = std::make_shared<Connection>(io_);
    connection->timeout.expires_after(kConnectTimeout);
    connection->timeout.async_wait([this, connection](const error_code& error) {
        if (!error && !connection->closed)
            fail(connection, "connect timed out");
    });
    connection->socket.async_connect(server_, [this, connection](const error_code& error) {
        if (connection->closed)
            return;
        if (error)
            return fail(connection, error.message().c_str());
        send_request(connection);
    });
}

void DiscoveryWatch::reconnect_after_backoff() {
    reconnect_timer_.expires_after(backoff_.next());
    reconnect_timer_.async_wait([this](const error_code& error) {
        // move_to() may have connected after this timer expired.
        if (!error && !current_)
            connect();
    });
}

void DiscoveryWatch::send_request(const ConnectionPointer& connection) {
    auto& request = connection->request;
    request = {http::verb::get, kStreamPath, kHttp11};
    request.set(http::field::host, server_.address().to_string() + ":" + std::to_string(server_.port()));
    request.set(http::field::accept, "text/event-stream");
    request.set(kResumeAfter, std::to_string(last_event_));
    start_response_timer(connection);
    http::async_write(connection->socket, request, [this, connection](const error_code& error, std::size_t) {
        if (connection->closed)
            return;
        if (error)
            return fail(connection, error.message().c_str());
        read_response_header(connection);
    });
}

void DiscoveryWatch::read_response_header(const ConnectionPointer& connection) {
    http::async_read_header(connection->socket, connection->buffer, connection->parser,
                            [this, connection](const error_code& error, std::size_t) {
                                if (connection->closed)
                                    return;
                                if (error)
                                    return fail(connection, error.message().c_str());
                                if (connection->parser.get().result() != http::status::ok)
                                    return fail(connection, "response status is not 200");
                                on_response_header(connection);
                            });
}

void DiscoveryWatch::on_response_header(const ConnectionPointer& connection) {
    connection->response_header_at = std::chrono::steady_clock::now();
    if (current_ == connection)
        start_response_timer(connection);
    read_events(connection);
}

// The first connection that delivers a complete line is read on; the others are closed. A header alone does
// not suffice: a slow server may send it long before the first line.
void DiscoveryWatch::select(const ConnectionPointer& connection) {
    if (std::exchange(connection->selected, true))
        return;
    if (current_ != connection) {
        if (current_)
            current_->close();
        reconnect_timer_.cancel();
        current_ = connection;
    }
    std::erase(unanswered_, connection);
    close_all(std::exchange(unanswered_, {}));
    log_.line("discovery-up", "resuming after event %lld", static_cast<long long>(last_event_));
}

void DiscoveryWatch::start_response_timer(const ConnectionPointer& connection) {
    connection->timeout.expires_after(kSilenceTimeout);
    connection->timeout.async_wait([this, connection](const error_code& error) {
        if (!error && !connection->closed)
            on_slow_response(connection);
    });
}

// No response in time: the server may be slow or dead. Keeps this connection waiting and opens another.
void DiscoveryWatch::on_slow_response(const ConnectionPointer& connection) {
    if (current_ != connection)
        return;
    ++counters_.slow;
    log_.line("discovery-slow", "no response yet; last event %lld", static_cast<long long>(last_event_));
    connection->timeout.expires_after(kMaxResponseTime - kSilenceTimeout);
    connection->timeout.async_wait([this, connection](const error_code& error) {
        if (!error && !connection->closed)
            fail(connection, "no response in time");
    });
    unanswered_.push_back(std::exchange(current_, nullptr));
    if (unanswered_.size() > kMaxUnanswered)
        close_second_oldest();
    reconnect_after_backoff();
}

// Not the oldest: a response to it is due first, however slow the server is.
void DiscoveryWatch::close_second_oldest() {
    const auto second = unanswered_.begin() + 1;
    log_.line("discovery-slow", "too many requests without a response, giving up the second oldest");
    (*second)->close();
    unanswered_.erase(second);
}

void DiscoveryWatch::close_all(const std::vector<ConnectionPointer>& connections) {
    for (const auto& connection : connections)
        connection->close();
}

void DiscoveryWatch::read_events(const ConnectionPointer& connection) {
    auto& body = connection->parser.get().body();
    body.data = connection->chunk.data();
    body.size = connection->chunk.size();
    http::async_read_some(
        connection->socket, connection->buffer, connection->parser,
        [this, connection](const error_code& error, std::size_t) { on_bytes(connection, error); });
}

void DiscoveryWatch::on_bytes(const ConnectionPointer& connection, const error_code& error) {
    if (connection->closed)
        return;
    const std::size_t size = connection->chunk.size() - connection->parser.get().body().size;
    const auto lines_before = connection->events.lines();
    const bool within_bounds =
        connection->events.feed({connection->chunk.data(), size}, [&](const SseParser::Event& event) {
            if (connection->closed)
                return;
            select(connection);
            on_event(connection, event);
        });
    if (connection->closed)
        return;
    if (!within_bounds)
        return fail(connection, "event exceeds the size limit");
    if (error && error != http::error::need_buffer)
        return fail(connection, error.message().c_str());
    if (connection->parser.is_done())
        return fail(connection, "stream ended");
    if (connection->events.lines() != lines_before)
        on_line(connection);
    read_events(connection);
}

void DiscoveryWatch::on_line(const ConnectionPointer& connection) {
    select(connection);
    restart_silence_timer(connection);
    const auto now = std::chrono::steady_clock::now();
    if (now < connection->response_header_at + kUsualCatchUpTime)
        return;
    // Not earlier: otherwise a server that closes each connection early would be reconnected to without
    // delay.
    backoff_.reset();
    last_line_ = now;
    if (!live_)
        set_live(connection->response_header_at);
}

void DiscoveryWatch::restart_silence_timer(const ConnectionPointer& connection) {
    connection->timeout.expires_after(kSilenceTimeout);
    connection->timeout.async_wait([this, connection](const error_code& error) {
        if (!error && !connection->closed)
            fail(connection, "no complete line in time");
    });
}

void DiscoveryWatch::fail(const ConnectionPointer& connection, const char* reason) {
    if (std::exchange(connection->closed, true))
        return;
    set_interrupted();
    log_.line("discovery-down", "%s; last event %lld", reason, static_cast<long long>(last_event_));
    connection->close();
    // Another connection is already open, opening or scheduled.
    if (std::erase(unanswered_, connection) > 0)
        return;
    if (current_ == connection)
        current_ = nullptr;
    reconnect_after_backoff();
}

void DiscoveryWatch::set_live(std::chrono::steady_clock::time_point opened) {
    live_ = true;
    live_since_ = last_line_;
    if (on_live_)
        on_live_(opened);
}

void DiscoveryWatch::set_interrupted() {
    if (!live_)
        return;
    // Otherwise events from before the previous interruption may still be missing.
    if (is_catch_up_over(last_line_))
        interrupted_at_ = last_line_;
    live_ = false;
    if (on_interrupted_)
        on_interrupted_(last_line_);
}

bool DiscoveryWatch::is_catch_up_over(std::chrono::steady_clock::time_point now) const {
    return live_ && now > live_since_ + kMaxCatchUpTime;
}

std::chrono::steady_clock::duration DiscoveryWatch::max_event_delay() const {
    const auto now = std::chrono::steady_clock::now();
    return is_catch_up_over(now) ? std::chrono::steady_clock::duration{} : now - interrupted_at_;
}

void DiscoveryWatch::on_event(const ConnectionPointer& connection, const SseParser::Event& event) {
    const std::int64_t number = parse_event_number(event.id);
    const bool seen_before = number != 0 && number <= last_event_;
    if (seen_before)
        return;
    const bool gap = number > last_event_ + 1;
    if (gap)
        ++counters_.gaps;
    if (gap && refetch(connection, number, "gap in the event numbers"))
        return;
    const bool parsed = on_event_(number, event.data);
    if (!parsed)
        ++counters_.unreadable;
    if (!parsed && number != 0 && refetch(connection, number, "event cannot be parsed"))
        return;
    if (number != 0)
        last_event_ = number;
    if ((gap || !parsed) && on_events_lost_)
        on_events_lost_();
}

// Reconnects and resumes after the last good event, as a drain or purge may have been lost in transit. Done
// once for each event: if the server sends the same again, it is accepted. Returns false if it was done
// before.
bool DiscoveryWatch::refetch(const ConnectionPointer& connection, std::int64_t number, const char* reason) {
    if (number == std::exchange(refetched_event_, number))
        return false;
    fail(connection, reason);
    return true;
}

}  // namespace silverrail::net

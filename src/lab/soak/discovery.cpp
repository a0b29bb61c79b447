#include "lab/soak/discovery.h"

#include <sys/socket.h>

#include "lab/stand_in_support.h"

namespace silverrail::lab::soak {

namespace {

constexpr Millis kHeartbeatInterval{500};
constexpr Millis kPollInterval{10};  // for new events
constexpr Millis kOldAddressOpenFor{1'500};
// A configuration holds the purges of this time.
constexpr Millis kPurgesKnownFor{8'000};
// The list that a router starts with stands for everything before the first event.
constexpr std::int64_t kFirstListNumber = 1;

tcp::endpoint any_port() {
    return {own_loopback_address(0, 3), 0};
}

const char* word_of(Discovery::ServerState state) {
    switch (state) {
        case Discovery::ServerState::active:
            return "active";
        case Discovery::ServerState::leaving:
            return "leaving";
        case Discovery::ServerState::left:
            return "left";
    }
    return "";
}

// No watcher sends anything behind its request.
bool closed_by_peer(tcp::socket& socket) {
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

Discovery::Discovery(asio::io_context& io, Oracle& oracle, Servers& servers, std::size_t routers)
    : io_(io), oracle_(oracle), servers_(servers), listed_(servers.count()) {
    for (std::size_t router = 0; router < routers; ++router) {
        routers_.push_back(std::make_unique<Router>(io));
        open(router, any_port());
    }
}

Discovery::~Discovery() {
    error_code ignored;
    for (const auto& router : routers_)
        router->acceptor.close(ignored);
}

void Discovery::open(std::size_t router, const tcp::endpoint& endpoint) {
    Router& own = *routers_[router];
    own.acceptor = tcp::acceptor{io_};
    listen(own.acceptor, endpoint);
    own.endpoint = own.acceptor.local_endpoint();
    spawn(io_, accept(router, ++own.opening));
}

std::string Discovery::server_json(std::size_t server, const ListedServer& listed, std::size_t router) const {
    return R"({"id":")" + servers_.id(server) + R"(","addr":")" + servers_.address(server, router) +
           R"(","zone":")" + (servers_.is_cache_server(server) ? "edge-1" : "north") + R"(","kind":")" +
           servers_.kind(server) + R"(","cell":1,"state":")" + word_of(listed.state) + R"(","weight":)" +
           std::to_string(terms::kWeight) + R"(,"started_ms":)" + std::to_string(listed.started_ms) + "}";
}

std::string Discovery::event_json(const Event& event, std::size_t router) const {
    const std::string number = std::to_string(event.number);
    if (!event.server)
        return R"({"no":)" + number + R"(,"recall":{"lot":)" + std::to_string(event.group) + R"(,"issued":)" +
               std::to_string(event.issued_ms) + "}}";
    return R"({"no":)" + number + R"(,"roster":{"version":)" + number + R"(,"full":false,"servers":[)" +
           server_json(*event.server, {event.state, event.started_ms}, router) + "]}}";
}

std::string Discovery::known_events(std::size_t router) {
    Router& own = *routers_.at(router);
    own.known_number = kFirstListNumber + static_cast<std::int64_t>(events_.size());
    own.known_list = listed_;
    const std::string number = std::to_string(own.known_number);
    std::string purges;
    const auto earliest = unix_time_ms() - kPurgesKnownFor.count();
    for (const Event& event : events_)
        if (!event.server && event.issued_ms > earliest)
            purges += event_json(event, router) + ",";
    std::string servers;
    for (std::size_t server = 0; server < listed_.size(); ++server)
        servers += (servers.empty() ? "" : ",") + server_json(server, listed_[server], router);
    return R"({"no":)" + number + R"(,"items":[)" + purges + R"({"no":)" + number +
           R"(,"roster":{"version":)" + number + R"(,"full":true,"servers":[)" + servers + "]}}]}";
}

void Discovery::on_configuration_read(std::size_t router) {
    oracle_.forget_router(router);
    const Router& own = *routers_.at(router);
    for (std::size_t server = 0; server < own.known_list.size(); ++server) {
        const ListedServer& listed = own.known_list[server];
        if (listed.state != ServerState::active)
            oracle_.on_drain_delivered(router, server);
        else if (listed.started_ms > 0)
            oracle_.on_start_delivered(router, server);
    }
    const auto earliest = unix_time_ms() - kPurgesKnownFor.count();
    for (const Event& event : events_)
        if (!event.server && event.number <= own.known_number && event.issued_ms > earliest)
            on_delivered(router, event);
}

void Discovery::add(Event event) {
    event.number = kFirstListNumber + 1 + static_cast<std::int64_t>(events_.size());
    events_.push_back(event);
}

void Discovery::list(std::size_t server, ServerState state) {
    listed_.at(server).state = state;
    add({.server = server, .state = state, .started_ms = listed_[server].started_ms});
}

void Discovery::list_restarted(std::size_t server) {
    listed_.at(server) = {ServerState::active, unix_time_ms()};
    list(server, ServerState::active);
}

void Discovery::purge(std::size_t group) {
    const auto issued_ms = unix_time_ms();
    oracle_.purged({group, issued_ms});
    add({.group = group, .issued_ms = issued_ms});
}

void Discovery::move(std::size_t router) {
    Router& own = *routers_.at(router);
    ++own.moves;
    error_code ignored;
    own.acceptor.close(ignored);
    own.down = false;
    open(router, any_port());
}

void Discovery::set_down(std::size_t router, bool down) {
    Router& own = *routers_.at(router);
    if (own.down == down)
        return;
    own.down = down;
    if (!down)
        return open(router, own.endpoint);
    error_code ignored;
    own.acceptor.close(ignored);
    for (tcp::socket* socket : std::set{own.connections})
        reset(*socket);
}

Task<> Discovery::accept(std::size_t router, std::uint64_t opening) {
    Router& own = *routers_[router];
    while (own.opening == opening && own.acceptor.is_open()) {
        error_code error;
        tcp::socket socket{io_};
        co_await own.acceptor.async_accept(socket, into(error));
        if (!error && own.opening == opening)
            spawn(io_, serve(router, own.moves, std::move(socket)));
    }
}

Task<> Discovery::serve(std::size_t router, std::uint64_t moves, tcp::socket socket) {
    Router& own = *routers_[router];
    own.connections.insert(&socket);
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    error_code error;
    co_await http::async_read(socket, buffer, request, into(error));
    if (!error && own.answer_delay > 0ms)
        co_await pause(own.answer_delay);
    Stream stream;
    stream.moves = moves;
    stream.last_sent = header_number(request["Last-Event-ID"]);
    stream.unsent = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
    stream.heartbeat_at = Clock::now();
    on_watch(router, stream.last_sent);
    while (!error && socket.is_open() && Clock::now() < stream.closes_at) {
        const std::vector<Event> sent = queue_events(router, stream);
        if (!stream.unsent.empty())
            co_await asio::async_write(socket, asio::buffer(stream.unsent), into(error));
        stream.unsent.clear();
        for (const Event& event : sent)
            if (!error)
                on_delivered(router, event);
        co_await pause(kPollInterval);
        // Nothing is read from the socket, so its end has to be looked for.
        if (!error && closed_by_peer(socket))
            break;
    }
    own.connections.erase(&socket);
}

// Adds what is due to the stream's bytes and returns the events among it.
std::vector<Discovery::Event> Discovery::queue_events(std::size_t router, Stream& stream) const {
    const Router& own = *routers_[router];
    const bool moved = own.moves != stream.moves;
    if (moved && stream.closes_at == Moment::max())
        stream.closes_at = Clock::now() + kOldAddressOpenFor;
    std::vector<Event> queued;
    if (moved || own.silent)
        return queued;
    for (const Event& event : events_) {
        if (event.number <= stream.last_sent)
            continue;
        stream.last_sent = event.number;
        stream.unsent +=
            "id: " + std::to_string(event.number) + "\ndata: " + event_json(event, router) + "\n\n";
        queued.push_back(event);
    }
    if (Clock::now() > stream.heartbeat_at + kHeartbeatInterval) {
        stream.heartbeat_at = Clock::now();
        stream.unsent += ": still here\n\n";
    }
    return queued;
}

// What was sent behind the last event that the router names has not reached it.
void Discovery::on_watch(std::size_t router, std::int64_t last_event) {
    for (const Event& event : events_)
        if (event.number > last_event)
            on_refetch(router, event);
}

void Discovery::on_refetch(std::size_t router, const Event& event) {
    if (event.server)
        return oracle_.on_active_delivered(router, *event.server);
    for (auto& purge : oracle_.purges())
        if (purge.group == event.group && purge.issued_ms == event.issued_ms)
            purge.delivered.erase(router);
}

void Discovery::set_stopped(std::size_t router, bool stopped) {
    Router& own = *routers_.at(router);
    own.stopped = stopped;
    if (stopped)
        return;
    for (const Event& event : std::exchange(own.unread, {}))
        on_delivered(router, event);
}

void Discovery::on_delivered(std::size_t router, const Event& event) {
    Router& own = *routers_[router];
    if (own.stopped)
        return own.unread.push_back(event);
    if (!event.server) {
        for (auto& purge : oracle_.purges())
            if (purge.group == event.group && purge.issued_ms == event.issued_ms)
                purge.delivered[router] = Clock::now();
    } else if (event.state == ServerState::active) {
        oracle_.on_active_delivered(router, *event.server);
        if (event.started_ms > 0)
            oracle_.on_start_delivered(router, *event.server);
    } else {
        oracle_.on_drain_delivered(router, *event.server);
    }
}

}  // namespace silverrail::lab::soak

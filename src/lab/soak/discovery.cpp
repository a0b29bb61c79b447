#include "lab/soak/discovery.h"

#include <sys/socket.h>

#include <charconv>

namespace silverrail::lab::soak {

namespace {

constexpr Millis kComment{500};
constexpr Millis kLook{10};  // for something new to tell
constexpr Millis kOldOpen{1'500};
constexpr Millis kPurgesKnown{8'000};

tcp::endpoint anywhere() {
    return {asio::ip::make_address("127.0.0.3"), 0};
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

}  // namespace

Discovery::Discovery(asio::io_context& io, Oracle& oracle, Servers& servers, std::size_t routers)
    : io_(io), oracle_(oracle), servers_(servers), listed_(servers.count()) {
    for (std::size_t i = 0; i < routers; ++i) {
        routers_.push_back(std::make_unique<Router>(io));
        open(i, anywhere());
    }
}

Discovery::~Discovery() {
    error_code ignored;
    for (auto& router : routers_)
        router->acceptor.close(ignored);
}

void Discovery::open(std::size_t router, const tcp::endpoint& at) {
    Router& r = *routers_[router];
    r.acceptor = tcp::acceptor{io_};
    listen(r.acceptor, at);
    r.at = r.acceptor.local_endpoint();
    spawn(io_, accept(router, ++r.openings));
}

std::string Discovery::server_text(std::size_t server, const Listed& listed, std::size_t router) const {
    return R"({"id":")" + servers_.id(server) + R"(","addr":")" + servers_.address(server, router) +
           R"(","zone":")" + (servers_.is_cache_server(server) ? "edge-1" : "north") + R"(","kind":")" +
           servers_.kind(server) + R"(","cell":1,"state":")" + word_of(listed.state) + R"(","weight":)" +
           std::to_string(terms::kWeight) + R"(,"started_ms":)" + std::to_string(listed.started_ms) + "}";
}

std::string Discovery::text_of_event(const Event& event, std::size_t router) const {
    const std::string no = R"({"no":)" + std::to_string(event.no);
    if (!event.server)
        return no + R"(,"recall":{"lot":)" + std::to_string(event.lot) + R"(,"issued":)" +
               std::to_string(event.issued_ms) + "}}";
    return no + R"(,"roster":{"version":)" + std::to_string(event.no) + R"(,"full":false,"servers":[)" +
           server_text(*event.server, {event.state, event.started_ms}, router) + "]}}";
}

std::string Discovery::known(std::size_t router) {
    const std::int64_t last = static_cast<std::int64_t>(events_.size()) + 1;
    routers_.at(router)->known_no = last;
    routers_[router]->known = listed_;
    std::string items;
    const auto begins = unix_ms() - kPurgesKnown.count();
    for (const Event& event : events_)
        if (!event.server && event.issued_ms > begins)
            items += text_of_event(event, router) + ",";
    std::string servers;
    for (std::size_t i = 0; i < listed_.size(); ++i)
        servers += (servers.empty() ? "" : ",") + server_text(i, listed_[i], router);
    return R"({"no":)" + std::to_string(last) + R"(,"items":[)" + items + R"({"no":)" + std::to_string(last) +
           R"(,"roster":{"version":)" + std::to_string(last) + R"(,"full":true,"servers":[)" + servers +
           "]}}]}";
}

void Discovery::known_told(std::size_t router) {
    oracle_.forget_router(router);
    const Router& r = *routers_.at(router);
    for (std::size_t i = 0; i < r.known.size(); ++i)
        if (r.known[i].state != ServerState::active)
            oracle_.told_drain(router, i);
        else if (r.known[i].started_ms > 0)
            oracle_.told_start(router, i);
    for (const Event& event : events_)
        if (!event.server && event.no <= r.known_no && event.issued_ms > unix_ms() - kPurgesKnown.count())
            delivered(router, event);
}

// Numbers go on after the list that stands for everything before the first event.
void Discovery::add(Event event) {
    event.no = static_cast<std::int64_t>(events_.size()) + 2;
    events_.push_back(event);
}

void Discovery::list(std::size_t server, ServerState state) {
    listed_.at(server).state = state;
    add({.server = server, .state = state, .started_ms = listed_[server].started_ms});
}

void Discovery::restarted(std::size_t server) {
    listed_.at(server) = {ServerState::active, unix_ms()};
    list(server, ServerState::active);
}

void Discovery::purge(std::size_t lot) {
    const auto issued = unix_ms();
    oracle_.purged({lot, issued});
    add({.lot = lot, .issued_ms = issued});
}

void Discovery::move(std::size_t router) {
    Router& r = *routers_.at(router);
    ++r.moves;
    error_code ignored;
    r.acceptor.close(ignored);
    r.down = false;
    open(router, anywhere());
}

void Discovery::set_down(std::size_t router, bool down) {
    Router& r = *routers_.at(router);
    if (r.down == down)
        return;
    r.down = down;
    if (!down)
        return open(router, r.at);
    error_code ignored;
    r.acceptor.close(ignored);
    for (tcp::socket* socket : std::set{r.open})
        reset(*socket);
}

Task<> Discovery::accept(std::size_t router, std::uint64_t opening) {
    Router& r = *routers_[router];
    while (r.openings == opening && r.acceptor.is_open()) {
        error_code error;
        tcp::socket socket{io_};
        co_await r.acceptor.async_accept(socket, into(error));
        if (!error && r.openings == opening)
            spawn(io_, tell(router, r.moves, std::move(socket)));
    }
}

Task<> Discovery::tell(std::size_t router, std::uint64_t moves, tcp::socket socket) {
    Router& r = *routers_[router];
    r.open.insert(&socket);
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    error_code error;
    co_await http::async_read(socket, buffer, request, into(error));
    if (!error && r.slow > 0ms)
        co_await pause(r.slow);
    std::int64_t last = 0;
    const auto told = request["Last-Event-ID"];
    std::from_chars(told.data(), told.data() + told.size(), last);
    // Whatever was written behind that has not come through to it.
    for (const Event& event : events_)
        if (event.no > last)
            not_told(router, event);
    std::string out = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n";
    Moment commented = Clock::now();
    const Moment never = Moment::max();
    Moment closes = never;
    while (!error && socket.is_open() && Clock::now() < closes) {
        if (r.moves != moves && closes == never)
            closes = Clock::now() + kOldOpen;
        std::vector<Event> told_now;
        if (r.moves == moves && !r.silent)
            for (const Event& event : events_) {
                if (event.no <= last)
                    continue;
                last = event.no;
                out += "id: " + std::to_string(event.no) + "\ndata: " + text_of_event(event, router) + "\n\n";
                told_now.push_back(event);
            }
        if (Clock::now() > commented + kComment && r.moves == moves && !r.silent) {
            commented = Clock::now();
            out += ": still here\n\n";
        }
        if (!out.empty())
            co_await asio::async_write(socket, asio::buffer(out), into(error));
        out.clear();
        if (!error)
            for (const Event& event : told_now)
                delivered(router, event);
        co_await pause(kLook);
        // Its end is not asked for otherwise.
        char byte = 0;
        if (!error && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            break;
    }
    r.open.erase(&socket);
}

void Discovery::not_told(std::size_t router, const Event& event) {
    if (event.server)
        return oracle_.told_active(router, *event.server);
    for (auto& purge : oracle_.purges())
        if (purge.lot == event.lot && purge.issued_ms == event.issued_ms)
            purge.told.erase(router);
}

void Discovery::set_stopped(std::size_t router, bool stopped) {
    Router& r = *routers_.at(router);
    r.stopped = stopped;
    if (stopped)
        return;
    for (const Event& event : std::exchange(r.unread, {}))
        delivered(router, event);
}

void Discovery::delivered(std::size_t router, const Event& event) {
    if (routers_[router]->stopped)
        return routers_[router]->unread.push_back(event);
    if (!event.server) {
        for (auto& purge : oracle_.purges())
            if (purge.lot == event.lot && purge.issued_ms == event.issued_ms)
                purge.told[router] = Clock::now();
    } else if (event.state == ServerState::active) {
        oracle_.told_active(router, *event.server);
        if (event.started_ms > 0)
            oracle_.told_start(router, *event.server);
    } else {
        oracle_.told_drain(router, *event.server);
    }
}

}  // namespace silverrail::lab::soak

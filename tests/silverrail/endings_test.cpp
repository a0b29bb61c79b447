// Where something ends while something else is still owed: the bad order is made to happen, each time.
#include <optional>

#include "net/listener.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
namespace asio = net::asio;
using silverrail::routing::Condition;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

std::string text_of(Request request) {
    request.prepare_payload();
    std::ostringstream out;
    out << request;
    return out.str();
}

// A server whose connections come up when the test says so: its backlog is full until then.
class HeldServer {
public:
    explicit HeldServer(asio::io_context& io) : acceptor_(io), filler_(io) {
        acceptor_.open(tcp::v4());
        acceptor_.bind(loopback());
        acceptor_.listen(0);
        filler_.connect(acceptor_.local_endpoint());
    }
    tcp::endpoint endpoint() const {
        return acceptor_.local_endpoint();
    }
    std::string address() const {
        return test::text_of(endpoint());
    }
    void open() {
        accept();
    }
    std::size_t connections = 0;  // that came up and were not the filler
    std::string heard;

private:
    void accept() {
        acceptor_.async_accept([this](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            const bool ours = socket.remote_endpoint() == filler_.local_endpoint();
            if (!ours) {
                ++connections;
                sockets_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
                read(*sockets_.back());
            }
            accept();
        });
    }
    void read(tcp::socket& socket) {
        socket.async_read_some(asio::buffer(part_),
                               [this, &socket](const net::error_code& error, std::size_t got) {
                                   heard.append(part_, got);
                                   if (!error)
                                       read(socket);
                               });
    }
    tcp::acceptor acceptor_;
    tcp::socket filler_;
    std::vector<std::unique_ptr<tcp::socket>> sockets_;
    char part_[1024];
};

net::ConnectionPoolLimits patient() {
    net::ConnectionPoolLimits limits;
    limits.connect_timeout =
        10s;  // a held connection comes up when its opening is sent again, after a second
    return limits;
}

enum class Way { closes, resets, closes_behind_bytes, resets_behind_bytes };
constexpr Way kWays[] = {Way::closes, Way::resets, Way::closes_behind_bytes, Way::resets_behind_bytes};

// The client goes while its call is open; the router has seen that when the call is open no more.
void go(asio::io_context& io, Router& router, RawClient& client, Way way) {
    const std::size_t open = router.engine.open();
    if (way == Way::closes_behind_bytes || way == Way::resets_behind_bytes) {
        client.say("GET /early");
        run_until(io, [&] { return io.poll() == 0; });
    }
    if (way == Way::closes || way == Way::closes_behind_bytes)
        client.half_close();
    else
        client.reset();
    run_until(io, [&] { return router.engine.open() == open - 1; });
    CHECK(router.engine.counters().abandoned == 1 && router.engine.counters().past_deadline == 0);
}

// What was waited for comes about, and whatever had been waiting for it would be heard before this.
void nothing_but_a_mark(asio::io_context& io, HeldServer& held) {
    held.open();
    tcp::socket mark{io};
    mark.connect(held.endpoint());
    asio::write(mark, asio::buffer(std::string{"mark"}));
    run_until(io, [&] { return held.heard.find("mark") != std::string::npos; });
    CHECK(held.heard == "mark");
}

// Nothing goes out for a request whose client has gone while it waited: here for a socket, ...
void nothing_is_sent_for_a_client_that_left_waiting_for_a_socket() {
    for (const Way way : kWays) {
        asio::io_context io;
        Server server{io};
        auto limits = patient();
        limits.connections = 1;
        Router router{io, {}, 1000, limits};
        server.act = Server::Act::stay_silent;
        router.list_with_sources({listed("s-a", server.address())});
        Client holds{io, router.server.local()};  // the only socket to servers
        holds.send(ask("pages", kObject));
        run_until(io, [&] { return server.seen.size() == 1; });
        RawClient leaves{io, router.server.local(), text_of(ask("pages", "00000000000000aa"))};
        run_until(io, [&] { return router.engine.open() == 2; });
        go(io, router, leaves, way);
        server.act = Server::Act::answer;
        holds.leave();
        run_until(io, [&] { return router.engine.open() == 0; });
        // The socket is free; the next who asks gets it.
        Client next{io, router.server.local()};
        next.send(ask("pages", "00000000000000bb"));
        run_until(io, [&] { return next.done; });
        CHECK(server.seen.size() == 2);
        CHECK(server.seen[1].request.target().find("bb") != net::beast::string_view::npos);
    }
}

// ... for a connection, at the first attempt or at a retry, ...
void nothing_is_sent_for_a_client_that_left_during_a_connect() {
    for (const bool retry : {false, true})
        for (const Way way : kWays) {
            asio::io_context io;
            Server server{io};
            HeldServer held{io};
            Router router{io, {}, 1000, patient()};
            server.act = Server::Act::stay_silent;
            router.list_with_sources({listed("s-a", retry ? server.address() : held.address())});
            RawClient leaves{io, router.server.local(), text_of(ask("pages", kObject))};
            run_until(io, [&] { return router.engine.counters().sent == 1; });
            if (retry) {
                run_until(io, [&] { return server.seen.size() == 1; });
                router.list({listed("s-b", held.address())}, false);
                server.reset_all();
                run_until(io, [&] { return router.engine.counters().sent == 2; });
            }
            go(io, router, leaves, way);
            nothing_but_a_mark(io, held);
            CHECK(router.engine.open() == 0 && server.seen.size() == (retry ? 1 : 0));
        }
}

// ... and for the time at which another server would be asked.
void nothing_is_sent_for_a_client_that_left_before_a_hedge() {
    std::optional<core::Span> usual;  // until that, for one who stays
    for (const std::optional<Way> way :
         {std::optional<Way>{}, std::optional{kWays[0]}, std::optional{kWays[1]}, std::optional{kWays[2]},
          std::optional{kWays[3]}}) {
        asio::io_context io;
        Server one{io}, other{io};
        one.act = other.act = Server::Act::stay_silent;
        Router router{io};
        router.list_with_sources({listed("s-a", one.address()), listed("s-b", other.address())});
        const auto begin = router.clock.now();
        RawClient client{io, router.server.local(), text_of(ask("pages", kObject))};
        const auto seen = [&] {
            return one.seen.size() + other.seen.size();
        };
        run_until(io, [&] { return seen() == 1; });
        if (!way) {
            run_until(io, [&] { return seen() == 2; });
            usual = router.clock.now() - begin;
            continue;
        }
        go(io, router, client, *way);
        run_until(io, [&] { return router.clock.now() >= begin + 2 * *usual; });
        CHECK(seen() == 1 && router.engine.counters().sent == 1);
    }
}

// What waits for a connection is looked at again when that is up: the window of repeats, and drains.
void rules_are_checked_again_when_a_connection_comes_up() {
    for (const bool keyed : {true, false}) {
        asio::io_context io;
        Server server{io};
        HeldServer held{io};
        Router router{io, {}, 1000, patient()};
        server.act = Server::Act::stay_silent;
        const auto first = listed("s-a", keyed ? server.address() : held.address());
        const auto second = listed("s-b", keyed ? held.address() : server.address());
        router.list_with_sources({first});
        Client client{io, router.server.local()};
        const auto begin = router.clock.now();
        // Neither is given up for another server meanwhile, as one that may be repeated would be.
        client.send(ask(keyed ? "order" : "lodge", kObject));
        if (keyed) {
            // It may have run; its repeat waits for a connection until the window of 900 ms is over.
            run_until(io, [&] { return server.seen.size() == 1; });
            router.list({second}, false);
            server.reset_all();
            run_until(io, [&] { return router.engine.counters().sent == 2; });
            run_until(io, [&] { return router.clock.now() >= begin + 900ms; });
            held.open();
            run_until(io, [&] { return held.connections == 1; });
            run_until(io, [&] { return client.done; });
            CHECK(client.status() == 503 && held.heard.empty());
            CHECK(router.engine.counters().held_at_first_byte == 1);
        } else {
            run_until(io, [&] { return router.engine.counters().sent == 1; });
            auto drains = first;
            drains.entry.condition = Condition::draining;
            router.list({second, drains}, false);
            server.act = Server::Act::answer;
            held.open();
            run_until(io, [&] { return client.done; });
            CHECK(client.status() == 200 && server.seen.size() == 1 && held.heard.empty());
        }
    }
}

// Makes this process's connections to `to` hold little that the other side has not taken; how many there are.
std::size_t narrow(const tcp::endpoint& to) {
    std::size_t found = 0;
    for (int fd = 3; fd < 1024; ++fd) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET)
            continue;
        if (ntohs(peer.sin_port) != to.port())
            continue;
        const int least = 1;
        CHECK(::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &least, sizeof least) == 0);
        ++found;
    }
    return found;
}

// An answer that comes before its request is out: the connection is of no further use.
void early_responses_end_the_connection() {
    asio::io_context io;
    tcp::acceptor acceptor{io};
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(2048));
    acceptor.bind(loopback());
    acceptor.listen();
    std::vector<std::unique_ptr<tcp::socket>> servers;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const net::error_code& error, tcp::socket socket) {
            if (error)
                return;
            servers.push_back(std::make_unique<tcp::socket>(std::move(socket)));
            accept();
        });
    };
    accept();
    Router router{io};
    router.list_with_sources({listed("s-a", test::text_of(acceptor.local_endpoint()))});
    Request large = ask("lodge", kObject);
    large.body() = std::string(60'000, 'x');
    Client client{io, router.server.local()};
    client.send(large);
    // Its connection has been asked for and is not written to yet: from here on it takes little at once.
    run_until(io, [&] { return router.engine.counters().sent == 1; });
    CHECK(narrow(acceptor.local_endpoint()) == 1);
    run_until(io, [&] { return servers.size() == 1 && servers[0]->available() > 0; });
    CHECK(router.engine.counters().backend_calls == 0);
    const std::string answer = "HTTP/1.1 500 Early\r\nContent-Length: 0\r\n\r\n";
    asio::write(*servers[0], asio::buffer(answer));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 502 && router.pool.connections() == 0);
}

// A second answer, some ms after a good one, is not taken for the next request's: a connection rests before
// it is used again.
void second_responses_are_not_taken_for_the_next_request() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    Client client{io, router.server.local()};
    client.send(ask("pages", kObject));
    run_until(io, [&] { return client.done; });
    client.send(ask("pages", "00000000000000aa"));
    run_until(io, [&] { return server.seen.size() == 2; });
    CHECK(server.seen[0].connection != server.seen[1].connection);
    run_until(io, [&] { return client.done; });
    // Rested, it is used.
    rest(io, router);
    client.send(ask("pages", "00000000000000bb"));
    run_until(io, [&] { return client.done; });
    CHECK(server.connections == 2 && server.seen.size() == 3 && client.status() == 200);
}

// The limit's handler runs while the whole request lies in the socket: it is answered.
void request_received_at_its_timeout_is_answered() {
    asio::io_context io;
    Server server{io};
    net::HttpLimits limits;
    limits.first_request_timeout = 100ms;
    Router router{io, limits};
    router.list_with_sources({listed("s-a", server.address())});
    RawClient client{io, router.server.local()};
    run_until(io, [&] { return router.server.connections() == 1; });
    const auto due = std::chrono::steady_clock::now() + 100ms;
    asio::steady_timer before{io, 50ms};
    before.async_wait([&](const net::error_code&) { client.say(text_of(ask("pages", kObject))); });
    while (std::chrono::steady_clock::now() <= due) {}
    io.restart();
    io.poll_one();  // both are due, and only the first has run
    run_until(io,
              [&] { return client.heard.find("bytes of the object") != std::string::npos || client.ended; });
    CHECK(client.heard.starts_with("HTTP/1.1 200"));
}

// Half a request gets its error whole, silence a plain end, though more bytes come meanwhile.
void slow_requests_end_cleanly() {
    asio::io_context io;
    net::HttpLimits limits;
    limits.first_request_timeout = limits.request_timeout = 100ms;
    Router router{io, limits};
    RawClient silent{io, router.server.local()};
    RawClient half{io, router.server.local(), "PUT /ops/pages/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    run_until(io, [&] { return silent.ended && half.heard.find("\r\n\r\n") != std::string::npos; });
    half.say("and more of it than was told");
    run_until(io, [&] { return half.ended; });
    CHECK(silent.clean && silent.heard.empty());
    CHECK(half.clean && half.heard.starts_with("HTTP/1.1 408"));
    CHECK(router.engine.counters().taken == 0);
}

// More than a request's worth before the answer: the call is given up, the client told, and nothing grows.
void pipelined_bytes_wait_for_their_turn() {
    for (const bool resets : {false, true}) {
        asio::io_context io;
        Server server{io};
        Router router{io};
        router.list_with_sources({listed("s-a", server.address())});
        server.act = Server::Act::stay_silent;
        RawClient client{io, router.server.local(), text_of(ask("pages", kObject))};
        run_until(io, [&] { return server.seen.size() == 1; });
        // Past what is read early: it is bounded, and its end is seen behind it all the same.
        const std::size_t most = net::HttpLimits{}.read_ahead;
        client.say(std::string(most + 1, 'x'));
        run_until(io, [&] { return router.server.counters().full_of_early_bytes == 1; });
        CHECK(!client.ended && router.engine.open() == 1);
        if (resets)
            client.reset();
        else
            client.half_close();
        const auto left = std::chrono::steady_clock::now();
        run_until(io, [&] { return server.closed == 1; });
        CHECK(std::chrono::steady_clock::now() - left < 100ms);
        CHECK(router.engine.open() == 0 && router.engine.counters().abandoned == 1);
    }
    // Requests that were sent along with another, longer than what is read early: each has its answer.
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    Request large = ask("lodge", kObject);
    large.body() = std::string(40'000, 'w');
    RawClient client{
        io, router.server.local(),
        text_of(ask("pages", kObject)) + text_of(large) + text_of(ask("pages", "00000000000000aa"))};
    const auto answers = [&] {
        std::size_t count = 0;
        for (auto at = client.heard.find("HTTP/1.1 200"); at != std::string::npos;
             at = client.heard.find("HTTP/1.1 200", at + 1))
            ++count;
        return count;
    };
    run_until(io, [&] { return answers() == 3; });
    CHECK(server.seen.size() == 3 && server.seen[1].request.body() == large.body());
}

// Asks as a client that takes little of an answer at once.
void ask_narrowly(asio::io_context& io, Router& router, tcp::socket& reader, const Request& request) {
    reader.open(tcp::v4());
    reader.set_option(asio::socket_base::receive_buffer_size(32 * 1024));
    reader.connect(router.server.local());
    const std::size_t before = router.server.connections();
    run_until(io, [&] { return router.server.connections() > before; });
    CHECK(narrow(reader.local_endpoint()) == 1);
    asio::write(reader, asio::buffer(text_of(request)));
}

// The end of the server: who rests sees a plain end, and what crosses it is not sent on; who was promised a
// further answer and has asked gets it.
void shutdown_answers_promised_requests() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    RawClient rests{io, router.server.local(), text_of(ask("pages", kObject))};
    run_until(io, [&] { return rests.heard.find("bytes of the object") != std::string::npos; });
    const std::size_t answer = rests.heard.size();
    // Does not read its answer yet, so the router is still writing when it is told to end.
    server.response = Server::hit(std::string(240'000, 'b'));
    tcp::socket reader{io};
    ask_narrowly(io, router, reader, ask("pages", "00000000000000aa"));
    CHECK(router.server.connections() == 2);
    run_until(io, [&] { return router.engine.counters().served == 2 && reader.available() > 0; });
    router.server.stop();
    rests.say(text_of(ask("pages", "00000000000000bb")));
    asio::write(reader, asio::buffer(text_of(ask("pages", "00000000000000cc"))));
    run_until(io, [&] { return rests.ended; });
    // Its connection was not reset: more would still be taken and thrown away.
    CHECK(rests.clean && rests.heard.size() == answer && rests.takes_more());
    std::string heard;
    char part[8192];
    std::optional<net::error_code> ended;
    std::function<void()> read = [&] {
        reader.async_read_some(asio::buffer(part), [&](const net::error_code& error, std::size_t got) {
            heard.append(part, got);
            if (error)
                ended = error;
            if (!error)
                read();
        });
    };
    read();
    run_until(io, [&] { return ended.has_value(); });
    CHECK(ended == asio::error::eof);
    const auto second = heard.find("HTTP/1.1 200", 8);
    CHECK(second != std::string::npos && heard.find("Connection: close", second) != std::string::npos);
    CHECK(heard.size() > 480'000);
    for (const auto& seen : server.seen)
        CHECK(seen.request.target().find("bb") == net::beast::string_view::npos);
    run_until(io, [&] { return router.server.connections() == 0; });
}

// A reader that is slow but moves gets its whole answer; one that has stopped is let go.
void slow_readers_get_their_whole_answer() {
    asio::io_context io;
    Server server{io};
    server.response = Server::hit(std::string(240'000, 'b'));
    net::HttpLimits limits;
    limits.write_stall_timeout = 400ms;
    Router router{io, limits};
    router.list_with_sources({listed("s-a", server.address())});
    tcp::socket moves{io}, stopped{io};
    ask_narrowly(io, router, moves, ask("pages", kObject));
    ask_narrowly(io, router, stopped, ask("pages", kObject));
    std::string heard;
    char part[20'000];
    asio::steady_timer pace{io};
    const auto begin = std::chrono::steady_clock::now();
    // Some of it each 50 ms: longer than the limit in all.
    std::function<void()> read = [&] {
        pace.expires_after(50ms);
        pace.async_wait([&](const net::error_code&) {
            asio::async_read(moves, asio::buffer(part), asio::transfer_at_least(1),
                             [&](const net::error_code& error, std::size_t got) {
                                 heard.append(part, got);
                                 if (!error && heard.size() < 240'000)
                                     read();
                             });
        });
    };
    read();
    run_until(io, [&] { return heard.size() > 240'000; });
    CHECK(std::chrono::steady_clock::now() - begin > 400ms);
    moves.close();
    run_until(io, [&] { return router.server.connections() == 0; });
}

// The process is told to end while requests stand behind an open one, in the buffer or still in the socket:
// they came before the connection's end was said, and each has its answer.
void pipelined_requests_are_answered_at_shutdown() {
    for (const std::size_t length : {std::size_t{9}, std::size_t{40'000}})
        for (const bool retires_first : {false, true}) {
            asio::io_context io;
            Server server{io};
            Router router{io};
            router.list_with_sources({listed("s-a", server.address())});
            server.act = Server::Act::stay_silent;
            Request behind = ask("lodge", kObject);
            behind.body() = std::string(length, 'w');
            RawClient client{
                io, router.server.local(),
                text_of(ask("pages", kObject)) + text_of(behind) + text_of(ask("pages", "00000000000000aa"))};
            run_until(io, [&] { return server.seen.size() == 1; });
            run_until(io, [&] { return io.poll() == 0; });
            if (retires_first)
                router.server.stop_accepting();
            router.server.stop();
            server.act = Server::Act::answer;
            server.reset_all();  // the first one's attempt ends, and the next is answered
            run_until(io, [&] { return client.ended; });
            std::size_t answers = 0;
            for (auto at = client.heard.find("HTTP/1.1 "); at != std::string::npos;
                 at = client.heard.find("HTTP/1.1 ", at + 1))
                ++answers;
            CHECK(answers == 3 && client.clean);
            CHECK(server.seen.back().request.target().find("aa") != net::beast::string_view::npos);
            run_until(io, [&] { return router.server.done(); });
        }
}

// The machine has accepted a connection for us, and in the same turn of the loop the listener is stopped: it
// is taken all the same, as the request on it is ours. `turns`: handlers that run before the one that stops,
// so that it comes before, between and after the system's word on the connection and the handler for that.
void connection_accepted_with_the_stop_is_served(int turns) {
    asio::io_context io;
    Log log;
    net::Listener listener{io, loopback(), net::Listener::Port::exclusive, log};
    std::vector<tcp::socket> taken;
    listener.start([&](tcp::socket socket) { taken.push_back(std::move(socket)); });
    run_until(io, [&] { return io.poll() == 0; });
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 3; ++i)
        clients.emplace_back(io).connect(listener.local());
    std::function<void(int)> stop_after = [&](int left) {
        if (left == 0)
            return listener.stop();
        asio::post(io, [&stop_after, left] { stop_after(left - 1); });
    };
    asio::post(io, [&] { stop_after(turns); });
    run_until(io, [&] { return listener.closed(); });
    run_until(io, [&] { return io.poll() == 0; });
    CHECK(taken.size() == clients.size() && listener.counters().accepted == clients.size());
}

}  // namespace

int main() {
    for (const int turns : {0, 1, 2, 3, 4, 5})
        connection_accepted_with_the_stop_is_served(turns);
    nothing_is_sent_for_a_client_that_left_waiting_for_a_socket();
    nothing_is_sent_for_a_client_that_left_during_a_connect();
    nothing_is_sent_for_a_client_that_left_before_a_hedge();
    rules_are_checked_again_when_a_connection_comes_up();
    early_responses_end_the_connection();
    second_responses_are_not_taken_for_the_next_request();
    request_received_at_its_timeout_is_answered();
    slow_requests_end_cleanly();
    pipelined_bytes_wait_for_their_turn();
    pipelined_requests_are_answered_at_shutdown();
    shutdown_answers_promised_requests();
    slow_readers_get_their_whole_answer();
    std::puts("endings: nothing that is owed is lost");
}

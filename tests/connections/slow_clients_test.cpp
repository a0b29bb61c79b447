// Clients that send or read slowly, or send ahead: each gets what it is owed, and nothing grows.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

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
    before.async_wait([&](const net::error_code&) { client.send(text_of(make_request("pages", kObject))); });
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
    half.send("and more of it than was told");
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
        server.behaviour = Server::Behaviour::never_respond;
        RawClient client{io, router.server.local(), text_of(make_request("pages", kObject))};
        run_until(io, [&] { return server.seen.size() == 1; });
        // Past what is read early: it is bounded, and its end is seen behind it all the same.
        const std::size_t most = net::HttpLimits{}.read_ahead;
        client.send(std::string(most + 1, 'x'));
        run_until(io, [&] { return router.server.counters().read_ahead_full == 1; });
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
    Request large = make_request("lodge", kObject);
    large.body() = std::string(40'000, 'w');
    RawClient client{io, router.server.local(),
                     text_of(make_request("pages", kObject)) + text_of(large) +
                         text_of(make_request("pages", "00000000000000aa"))};
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
    ask_narrowly(io, router, moves, make_request("pages", kObject));
    ask_narrowly(io, router, stopped, make_request("pages", kObject));
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

}  // namespace

int main() {
    request_received_at_its_timeout_is_answered();
    slow_requests_end_cleanly();
    pipelined_bytes_wait_for_their_turn();
    slow_readers_get_their_whole_answer();
    std::puts("endings: slow clients get what they are owed");
}

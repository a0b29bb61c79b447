// Clients that send or read slowly, or pipeline requests. Guards against lost or truncated responses and
// unbounded buffers.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// The timeout's handler runs while the whole request is unread in the socket: it still gets its response.
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
    asio::steady_timer send_timer{io, 50ms};
    send_timer.async_wait(
        [&](const net::error_code&) { client.send(serialize(make_request("pages", kObject))); });
    while (std::chrono::steady_clock::now() <= due) {}
    io.restart();
    io.poll_one();  // both timers are due, and only the first handler has run
    run_until(
        io, [&] { return client.received.find("bytes of the object") != std::string::npos || client.ended; });
    CHECK(client.received.starts_with("HTTP/1.1 200"));
}

// An incomplete request gets its whole error response although more bytes arrive meanwhile; a connection
// without any bytes is closed without a reset.
void slow_requests_end_cleanly() {
    asio::io_context io;
    net::HttpLimits limits;
    limits.first_request_timeout = limits.request_timeout = 100ms;
    Router router{io, limits};
    RawClient silent{io, router.server.local()};
    RawClient incomplete{io, router.server.local(),
                         "PUT /ops/pages/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"};
    run_until(io, [&] { return silent.ended && incomplete.received.find("\r\n\r\n") != std::string::npos; });
    incomplete.send("and more of it than was told");
    run_until(io, [&] { return incomplete.ended; });
    CHECK(silent.clean && silent.received.empty());
    CHECK(incomplete.clean && incomplete.received.starts_with("HTTP/1.1 408"));
    CHECK(router.engine.counters().taken == 0);
}

// Bytes that arrive before the response are read only up to a limit; the end of the stream behind them is
// still noticed, and its request abandoned.
void pipelined_bytes_wait_for_their_turn() {
    for (const bool resets : {false, true}) {
        asio::io_context io;
        Server server{io};
        Router router{io};
        router.list_with_sources({listed("s-a", server.address())});
        server.behaviour = Server::Behaviour::never_respond;
        RawClient client{io, router.server.local(), serialize(make_request("pages", kObject))};
        run_until(io, [&] { return server.seen.size() == 1; });
        const std::size_t read_ahead = net::HttpLimits{}.read_ahead;
        client.send(std::string(read_ahead + 1, 'x'));
        run_until(io, [&] { return router.server.counters().read_ahead_full == 1; });
        CHECK(!client.ended && router.engine.open() == 1);
        if (resets)
            client.reset();
        else
            client.half_close();
        const auto left_at = std::chrono::steady_clock::now();
        run_until(io, [&] { return server.closed == 1; });
        CHECK(std::chrono::steady_clock::now() - left_at < 100ms);
        CHECK(router.engine.open() == 0 && router.engine.counters().abandoned == 1);
    }
    // Pipelined requests longer than the read-ahead each get their response.
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    Request large = make_request("lodge", kObject);
    large.body() = std::string(40'000, 'w');
    RawClient client{io, router.server.local(),
                     serialize(make_request("pages", kObject)) + serialize(large) +
                         serialize(make_request("pages", "00000000000000aa"))};
    const auto responses = [&] {
        std::size_t count = 0;
        for (auto at = client.received.find("HTTP/1.1 200"); at != std::string::npos;
             at = client.received.find("HTTP/1.1 200", at + 1))
            ++count;
        return count;
    };
    run_until(io, [&] { return responses() == 3; });
    CHECK(server.seen.size() == 3 && server.seen[1].request.body() == large.body());
}

// A client that reads slowly gets its whole response; one that has stopped reading is disconnected.
void slow_readers_get_their_whole_response() {
    asio::io_context io;
    Server server{io};
    server.response = Server::hit(std::string(240'000, 'b'));
    net::HttpLimits limits;
    limits.write_stall_timeout = 400ms;
    Router router{io, limits};
    router.list_with_sources({listed("s-a", server.address())});
    tcp::socket slow{io}, stopped{io};
    send_with_small_buffers(io, router, slow, make_request("pages", kObject));
    send_with_small_buffers(io, router, stopped, make_request("pages", kObject));
    std::string received;
    char part[20'000];
    asio::steady_timer read_timer{io};
    const auto begin = std::chrono::steady_clock::now();
    // Reads a part each 50 ms, which in total takes longer than the timeout.
    std::function<void()> read = [&] {
        read_timer.expires_after(50ms);
        read_timer.async_wait([&](const net::error_code&) {
            asio::async_read(slow, asio::buffer(part), asio::transfer_at_least(1),
                             [&](const net::error_code& error, std::size_t got) {
                                 received.append(part, got);
                                 if (!error && received.size() < 240'000)
                                     read();
                             });
        });
    };
    read();
    run_until(io, [&] { return received.size() > 240'000; });
    CHECK(std::chrono::steady_clock::now() - begin > 400ms);
    slow.close();
    run_until(io, [&] { return router.server.connections() == 0; });
}

}  // namespace

int main() {
    request_received_at_its_timeout_is_answered();
    slow_requests_end_cleanly();
    pipelined_bytes_wait_for_their_turn();
    slow_readers_get_their_whole_response();
    std::puts("slow_clients: each gets its whole response");
}

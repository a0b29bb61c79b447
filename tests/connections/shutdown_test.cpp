// The HTTP server stops while requests are open, pipelined or just being accepted. Guards against requests
// that are lost without a response.
#include <array>
#include <optional>

#include "fixture.h"
#include "net/listener.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// Reads until the connection ends.
struct FinalReader {
    explicit FinalReader(tcp::socket& s) : socket(s) {
        read();
    }
    void read() {
        socket.async_read_some(asio::buffer(part), [this](const net::error_code& error, std::size_t got) {
            received.append(part.data(), got);
            if (error)
                ended = error;
            else
                read();
        });
    }
    tcp::socket& socket;
    std::array<char, 8192> part{};
    std::string received;
    std::optional<net::error_code> ended;
};

// An idle client sees its connection closed without a reset, and a request that it sends meanwhile is not
// forwarded. A client whose response announced keep-alive gets the response to a request that it sends after
// the stop.
void shutdown_answers_promised_requests() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    RawClient idle{io, router.server.local(), serialize(make_request("pages", kObject))};
    run_until(io, [&] { return idle.received.find("bytes of the object") != std::string::npos; });
    const std::size_t response_size = idle.received.size();
    // Does not read its response yet, so the router is still writing when it is stopped.
    server.response = Server::hit(std::string(240'000, 'b'));
    tcp::socket reader{io};
    send_with_small_buffers(io, router, reader, make_request("pages", "00000000000000aa"));
    CHECK(router.server.connections() == 2);
    run_until(io, [&] { return router.engine.counters().served == 2 && reader.available() > 0; });
    router.server.stop();
    idle.send(serialize(make_request("pages", "00000000000000bb")));
    asio::write(reader, asio::buffer(serialize(make_request("pages", "00000000000000cc"))));
    run_until(io, [&] { return idle.ended; });
    // Its connection was not reset: the router still accepts and discards further bytes.
    CHECK(idle.clean && idle.received.size() == response_size && idle.accepts_writes());
    FinalReader remaining{reader};
    run_until(io, [&] { return remaining.ended.has_value(); });
    CHECK(remaining.ended == asio::error::eof);
    const auto second = remaining.received.find("HTTP/1.1 200", 8);
    CHECK(second != std::string::npos &&
          remaining.received.find("Connection: close", second) != std::string::npos);
    CHECK(remaining.received.size() > 480'000);
    for (const auto& seen : server.seen)
        CHECK(seen.request.target().find("bb") == net::beast::string_view::npos);
    run_until(io, [&] { return router.server.connections() == 0; });
}

// The server is stopped while pipelined requests wait behind an open one, in the buffer or still in the
// socket. They arrived before the close of the connection was announced, so each gets its response.
void pipelined_requests_are_answered_at_shutdown() {
    for (const std::size_t length : {std::size_t{9}, std::size_t{40'000}})
        for (const bool stops_accepting_first : {false, true}) {
            asio::io_context io;
            Server server{io};
            Router router{io};
            router.list_with_sources({listed("s-a", server.address())});
            server.behaviour = Server::Behaviour::never_respond;
            Request second = make_request("lodge", kObject);
            second.body() = std::string(length, 'w');
            RawClient client{io, router.server.local(),
                             serialize(make_request("pages", kObject)) + serialize(second) +
                                 serialize(make_request("pages", "00000000000000aa"))};
            run_until(io, [&] { return server.seen.size() == 1; });
            run_until(io, [&] { return io.poll() == 0; });
            if (stops_accepting_first)
                router.server.stop_accepting();
            router.server.stop();
            server.behaviour = Server::Behaviour::answer;
            // Ends the attempt of the first request, and the next one gets a response.
            server.reset_connections();
            run_until(io, [&] { return client.ended; });
            std::size_t responses = 0;
            for (auto at = client.received.find("HTTP/1.1 "); at != std::string::npos;
                 at = client.received.find("HTTP/1.1 ", at + 1))
                ++responses;
            CHECK(responses == 3 && client.clean);
            CHECK(server.seen.back().request.target().find("aa") != net::beast::string_view::npos);
            run_until(io, [&] { return router.server.done(); });
        }
}

// The system has accepted a connection, and the listener is stopped in the same iteration of the event loop:
// the connection must still be handled, as closing it would lose its request. `handlers_before`: handlers
// that run before the one that stops, so that the stop comes before, between and after the readiness event
// and its handler.
void connection_accepted_with_the_stop_is_handled(int handlers_before) {
    asio::io_context io;
    Log log;
    net::Listener listener{io, loopback(), net::Port::exclusive, log};
    std::vector<tcp::socket> accepted;
    listener.start([&](tcp::socket socket) { accepted.push_back(std::move(socket)); });
    run_until(io, [&] { return io.poll() == 0; });
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 3; ++i)
        clients.emplace_back(io).connect(listener.local());
    std::function<void(int)> stop_after = [&](int left) {
        if (left == 0)
            return listener.stop();
        asio::post(io, [&stop_after, left] { stop_after(left - 1); });
    };
    asio::post(io, [&] { stop_after(handlers_before); });
    run_until(io, [&] { return listener.closed(); });
    run_until(io, [&] { return io.poll() == 0; });
    CHECK(accepted.size() == clients.size() && listener.counters().accepted == clients.size());
}

}  // namespace

int main() {
    for (const int handlers_before : {0, 1, 2, 3, 4, 5})
        connection_accepted_with_the_stop_is_handled(handlers_before);
    pipelined_requests_are_answered_at_shutdown();
    shutdown_answers_promised_requests();
    std::puts("shutdown: every request gets its response");
}

// Misbehaving clients and servers: malformed, oversized, incomplete or missing requests and responses. Guards
// against resources held without limit, smuggled requests and stored bad responses.
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
namespace asio = net::asio;

namespace {

const std::string kObject = "7f3a9c21e0b4d655";

const std::string kFields = "Host: a\r\nTrace-Id: 9b1f03aa5c7e2d41\r\nMax-Wait-Ms: 1500\r\nX-Lot: 17\r\n";

// Each gets its whole error response although bytes remain unread, and then the connection is closed.
void malformed_requests_get_an_error_response() {
    struct Case {
        std::string bytes;
        const char* status;
    };
    const std::string put = "PUT /ops/lodge/" + kObject + "/piece-0 HTTP/1.1\r\n" + kFields;
    const std::string filler(600'000, 'x');
    const std::string zeros(600'000, '0');
    const Case cases[] = {
        {put + "Content-Length: 60000000\r\n\r\n" + filler, "413"},
        {put + "Content-Length: 99999999999999999999999\r\n\r\n", "400"},
        {put + "Content-Length: -5\r\n\r\n", "400"},
        {put + "Content-Length: +5\r\n\r\nhello", "400"},
        {put + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "400"},
        {put + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + put, "400"},
        {put + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + put, "400"},
        {put + "Transfer-Encoding: chunked, other\r\n\r\n0\r\n\r\n" + put, "400"},
        {put + "Transfer-Encoding: chunked\r\n\r\n7000000\r\n" + filler, "413"},
        // Endless framing of chunks, which no limit on headers and bodies covers: each was kept whole until
        // the request's timeout, and one client could exhaust the router's memory.
        {put + "Transfer-Encoding: chunked\r\n\r\n5;note=" + filler, "400"},
        {put + "Transfer-Encoding: chunked\r\n\r\n" + zeros, "400"},
        {put + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nEndless: " + filler, "400"},
        {put + "Endless: " + filler, "431"},
        {std::string("\x16\x03\x01\x02\x00\x01", 6) + filler, "400"},
    };
    for (const Case& c : cases) {
        asio::io_context io;
        Server server{io};
        Router router{io};
        router.list_with_sources(
            {listed("s-a", server.address()), listed("s-o", server.address(), "origin")});
        RawClient client{io, router.server.local(), c.bytes};
        run_until(io, [&] { return client.ended; });
        CHECK(client.received.starts_with(std::string{"HTTP/1.1 "} + c.status));
        CHECK(!client.write_failed);  // no reset while the response is on its way
        // No smuggled request got a response.
        CHECK(client.received.find("HTTP/1.1", 8) == std::string::npos);
        run_until(io, [&] { return router.server.connections() == 0; });
        CHECK(router.engine.counters().taken == 0 && server.seen.empty());
    }
}

// Connections without a complete request are closed at a timeout that runs from connecting; idle connections
// of clients that have sent a request stay open.
void silent_connections_are_closed() {
    asio::io_context io;
    Server server{io};
    net::HttpLimits limits;
    limits.first_request_timeout = limits.request_timeout = 100ms;
    Router router{io, limits};
    router.list_with_sources({listed("s-a", server.address())});
    Client normal{io, router.server.local()};
    normal.send(make_request("pages", kObject));
    run_until(io, [&] { return normal.done; });
    RawClient silent{io, router.server.local()};
    RawClient incomplete{io, router.server.local(), "GET /ops/pages/" + kObject};
    run_until(io, [&] { return silent.ended && incomplete.ended; });
    normal.send(make_request("pages", kObject));
    run_until(io, [&] { return normal.done; });
    CHECK(!normal.broken && normal.status() == 200);
    // The same holds after a complete request: an incomplete second one does not keep the connection open.
    RawClient second{io, router.server.local(), "GET /alive HTTP/1.1\r\n\r\nGET /al"};
    run_until(io, [&] { return second.ended; });
    CHECK(second.received.starts_with("HTTP/1.1 200"));
}

// At the limit on connections, one without any request is evicted first, then an idle one; one with an open
// request never is.
void idle_connections_are_evicted_first() {
    asio::io_context io;
    Server server{io};
    net::HttpLimits limits;
    limits.connections = 4;
    Router router{io, limits};
    router.list_with_sources({listed("s-a", server.address())});
    Client idle{io, router.server.local()};
    idle.send(make_request("pages", kObject));
    run_until(io, [&] { return idle.done; });
    server.behaviour = Server::Behaviour::never_respond;
    Client waiting{io, router.server.local()};
    waiting.send(make_request("pages", kObject));
    run_until(io, [&] { return server.seen.size() == 2; });
    std::vector<std::unique_ptr<RawClient>> silent;
    for (int i = 0; i < 2; ++i) {
        silent.push_back(std::make_unique<RawClient>(io, router.server.local()));
        run_until(io, [&] { return router.server.connections() == 3u + i; });
    }
    bool passed = false;  // the time within which a new client is expected to send its request
    asio::steady_timer timer{io, 1100ms};
    timer.async_wait([&](const net::error_code&) { passed = true; });
    run_until(io, [&] { return passed; });
    silent.push_back(std::make_unique<RawClient>(io, router.server.local()));
    run_until(io, [&] { return silent[0]->ended; });
    CHECK(!silent[1]->ended && !silent[2]->ended);
    server.behaviour = Server::Behaviour::answer;
    for (Client* client : {&idle, &waiting}) {
        if (client == &idle)
            client->send(make_request("pages", "00000000000000aa", 5000));
        run_until(io, [&] { return client->done; });
        CHECK(!client->broken);
    }
}

// A request is not sent to a server if its trace id is that of an open request, or if its method or maximum
// wait does not suit its class.
void invalid_requests_fail_unsent() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    server.behaviour = Server::Behaviour::never_respond;
    Client first{io, router.server.local()};
    Request request = make_request("pages", kObject);
    first.send(request);
    run_until(io, [&] { return server.seen.size() == 1; });
    Request same_id = make_request("pages", "00000000000000aa");
    same_id.set("Trace-Id", request["Trace-Id"]);
    Request as_write = make_request("pages", kObject);
    as_write.method(net::http::verb::put);
    Request as_read = make_request("lodge", kObject);
    as_read.method(net::http::verb::get);
    Request too_long = make_request("pages", kObject, 500'000);
    for (const Request* r : {&same_id, &as_write, &as_read, &too_long}) {
        Client client{io, router.server.local()};
        client.send(*r);
        run_until(io, [&] { return client.done; });
        CHECK(!client.broken && client.status() == 502);
    }
    CHECK(router.engine.counters().unfit == 4 && router.engine.counters().sent == 1);
    first.leave();
    run_until(io, [&] { return router.engine.open() == 0; });
    // Its id may be used again.
    server.behaviour = Server::Behaviour::answer;
    Client again{io, router.server.local()};
    again.send(request);
    run_until(io, [&] { return again.done; });
    CHECK(again.status() == 200);
}

// Malformed responses fail at once and are not stored; good ones followed by further bytes are served. No
// connection of either kind is reused.
void server_responses_are_bounded() {
    struct Case {
        std::string bytes;
        bool served;
        bool reused;
    };
    const std::string good = "HTTP/1.1 200 OK\r\nTag: 4be0\r\nContent-Length: 5\r\n\r\nwhole";
    const std::string filler(1 << 20, 'x');
    const Case cases[] = {
        {good, true, true},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + good, true, true},
        {good + good, true, false},
        {good + "noise", true, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + filler, false, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb2d05e00\r\n" + filler, false, false},
        {"HTTP/1.1 200 OK\r\n\r\n" + filler, false, false},
        // Endless framing of chunks; each was kept whole until the attempt's timeout.
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;note=" + filler, false, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(1 << 20, '0'), false, false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nEndless: " + filler, false, false},
        {"HTTP/1.1 200 OK\r\nEndless: " + filler, false, false},
        {"HTTP/1.1 304 Not Modified\r\nTag: 4be0\r\n\r\n", false, false},  // to a client without a copy
        {"no answer at all\r\n\r\n", false, false},
    };
    for (const Case& c : cases) {
        asio::io_context io;
        Server server{io};
        Router router{io};
        router.list_with_sources(
            {listed("s-o", server.address(), "origin"), listed("s-a", server.address())});
        server.behaviour = Server::Behaviour::send_raw_response;
        server.raw_response = c.bytes;
        Client client{io, router.server.local()};
        client.send(make_request("pages", kObject, 10'000));
        const auto begin = std::chrono::steady_clock::now();
        run_until(io, [&] { return client.done; });
        CHECK(!client.broken && (client.status() == 200) == c.served);
        CHECK(!c.served || client.response.body() == "whole");
        CHECK(std::chrono::steady_clock::now() - begin < 5s);  // not only at its deadline
        if (!c.reused)
            run_until(io, [&] { return server.closed == server.connections; });
        CHECK(router.pool.connections() == (c.reused ? 1u : 0u));
    }
}

}  // namespace

int main() {
    malformed_requests_get_an_error_response();
    silent_connections_are_closed();
    idle_connections_are_evicted_first();
    invalid_requests_fail_unsent();
    server_responses_are_bounded();
    std::puts("misbehaving_endpoints: all cases end within their limits");
}

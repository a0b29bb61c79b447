// A client disconnects, or a rule changes, while its request waits for a connection or a hedge. Guards
// against a request that is sent for a client that has left, or in violation of the changed rule.
#include <optional>

#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;
using silverrail::routing::Condition;

namespace {

net::ConnectionPoolLimits long_connect_timeout() {
    net::ConnectionPoolLimits limits;
    limits.connect_timeout = 10s;  // a pending connect succeeds when the SYN is sent again, after a second
    return limits;
}

enum class Disconnect { close, reset, close_after_bytes, reset_after_bytes };
constexpr Disconnect kDisconnects[] = {Disconnect::close, Disconnect::reset, Disconnect::close_after_bytes,
                                       Disconnect::reset_after_bytes};

// Disconnects the client while its request is open, and waits until the router has noticed and ended the
// request.
void disconnect_client(asio::io_context& io, Router& router, RawClient& client, Disconnect how) {
    const std::size_t open = router.engine.open();
    if (how == Disconnect::close_after_bytes || how == Disconnect::reset_after_bytes) {
        client.send("GET /early");
        run_until(io, [&] { return io.poll() == 0; });
    }
    if (how == Disconnect::close || how == Disconnect::close_after_bytes)
        client.half_close();
    else
        client.reset();
    run_until(io, [&] { return router.engine.open() == open - 1; });
    CHECK(router.engine.counters().abandoned == 1 && router.engine.counters().past_deadline == 0);
}

// Lets the pending connects succeed and sends a marker to the server: any request that waited for a
// connection would arrive before the marker.
void check_only_marker_arrives(asio::io_context& io, FullBacklogServer& delayed) {
    delayed.accept_connections();
    tcp::socket marker{io};
    marker.connect(delayed.endpoint());
    asio::write(marker, asio::buffer(std::string{"mark"}));
    run_until(io, [&] { return delayed.received.find("mark") != std::string::npos; });
    CHECK(delayed.received == "mark");
}

// The client disconnects while its request is queued for a free connection to a server.
void nothing_is_sent_for_a_client_that_left_waiting_for_a_connection() {
    for (const Disconnect how : kDisconnects) {
        asio::io_context io;
        Server server{io};
        auto limits = long_connect_timeout();
        limits.connections = 1;
        Router router{io, {}, 1000, limits};
        server.behaviour = Server::Behaviour::never_respond;
        router.list_with_sources({listed("s-a", server.address())});
        Client holds{io, router.server.local()};  // uses the only connection to servers
        holds.send(make_request("pages", kObject));
        run_until(io, [&] { return server.seen.size() == 1; });
        RawClient leaves{io, router.server.local(), serialize(make_request("pages", "00000000000000aa"))};
        run_until(io, [&] { return router.engine.open() == 2; });
        disconnect_client(io, router, leaves, how);
        server.behaviour = Server::Behaviour::answer;
        holds.leave();
        run_until(io, [&] { return router.engine.open() == 0; });
        // The connection is free, and the next request gets it.
        Client next{io, router.server.local()};
        next.send(make_request("pages", "00000000000000bb"));
        run_until(io, [&] { return next.done; });
        CHECK(server.seen.size() == 2);
        CHECK(server.seen[1].request.target().find("bb") != net::beast::string_view::npos);
    }
}

// The client disconnects while the connection for its first attempt or for a retry is being established.
void nothing_is_sent_for_a_client_that_left_during_a_connect() {
    for (const bool retry : {false, true})
        for (const Disconnect how : kDisconnects) {
            asio::io_context io;
            Server server{io};
            FullBacklogServer delayed{io};
            Router router{io, {}, 1000, long_connect_timeout()};
            server.behaviour = Server::Behaviour::never_respond;
            router.list_with_sources({listed("s-a", retry ? server.address() : delayed.address())});
            RawClient leaves{io, router.server.local(), serialize(make_request("pages", kObject))};
            run_until(io, [&] { return router.engine.counters().sent == 1; });
            if (retry) {
                run_until(io, [&] { return server.seen.size() == 1; });
                router.list({listed("s-b", delayed.address())}, false);
                server.reset_connections();
                run_until(io, [&] { return router.engine.counters().sent == 2; });
            }
            disconnect_client(io, router, leaves, how);
            check_only_marker_arrives(io, delayed);
            CHECK(router.engine.open() == 0 && server.seen.size() == (retry ? 1 : 0));
        }
}

// The client disconnects before a second attempt would be sent to another server.
void nothing_is_sent_for_a_client_that_left_before_a_hedge() {
    std::optional<core::Span> hedge_delay;  // until the second attempt, measured with a client that stays
    for (const std::optional<Disconnect> how :
         {std::optional<Disconnect>{}, std::optional{kDisconnects[0]}, std::optional{kDisconnects[1]},
          std::optional{kDisconnects[2]}, std::optional{kDisconnects[3]}}) {
        asio::io_context io;
        Server one{io}, other{io};
        one.behaviour = other.behaviour = Server::Behaviour::never_respond;
        Router router{io};
        router.list_with_sources({listed("s-a", one.address()), listed("s-b", other.address())});
        const auto begin = router.clock.now();
        RawClient client{io, router.server.local(), serialize(make_request("pages", kObject))};
        const auto seen = [&] {
            return one.seen.size() + other.seen.size();
        };
        run_until(io, [&] { return seen() == 1; });
        if (!how) {
            run_until(io, [&] { return seen() == 2; });
            hedge_delay = router.clock.now() - begin;
            continue;
        }
        disconnect_client(io, router, client, *how);
        run_until(io, [&] { return router.clock.now() >= begin + 2 * *hedge_delay; });
        CHECK(seen() == 1 && router.engine.counters().sent == 1);
    }
}

// A request with an idempotency key may have run, and its retry waits for a connection until the retry window
// of 900 ms is over: the retry must not be sent then.
void retry_window_is_checked_when_a_connection_is_established() {
    asio::io_context io;
    Server server{io};
    FullBacklogServer delayed{io};
    Router router{io, {}, 1000, long_connect_timeout()};
    server.behaviour = Server::Behaviour::never_respond;
    router.list_with_sources({listed("s-a", server.address())});
    Client client{io, router.server.local()};
    const auto begin = router.clock.now();
    client.send(make_request("order", kObject));
    run_until(io, [&] { return server.seen.size() == 1; });
    router.list({listed("s-b", delayed.address())}, false);
    server.reset_connections();
    run_until(io, [&] { return router.engine.counters().sent == 2; });
    run_until(io, [&] { return router.clock.now() >= begin + 900ms; });
    delayed.accept_connections();
    run_until(io, [&] { return delayed.connections == 1; });
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 503 && delayed.received.empty());
    CHECK(router.engine.counters().held_at_first_byte == 1);
}

// The server begins to drain while the connection for an attempt is being established: the request goes to
// another server. Its class may not be retried, so the attempt is not abandoned earlier in favour of that
// server.
void drain_is_checked_when_a_connection_is_established() {
    asio::io_context io;
    Server server{io};
    FullBacklogServer delayed{io};
    Router router{io, {}, 1000, long_connect_timeout()};
    auto draining = listed("s-a", delayed.address());
    router.list_with_sources({draining});
    Client client{io, router.server.local()};
    client.send(make_request("lodge", kObject));
    run_until(io, [&] { return router.engine.counters().sent == 1; });
    draining.entry.condition = Condition::draining;
    router.list({listed("s-b", server.address()), draining}, false);
    delayed.accept_connections();
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && server.seen.size() == 1 && delayed.received.empty());
}

}  // namespace

int main() {
    nothing_is_sent_for_a_client_that_left_waiting_for_a_connection();
    nothing_is_sent_for_a_client_that_left_during_a_connect();
    nothing_is_sent_for_a_client_that_left_before_a_hedge();
    retry_window_is_checked_when_a_connection_is_established();
    drain_is_checked_when_a_connection_is_established();
    std::puts("client_disconnect: nothing is sent for clients that have left");
}

// A client leaves, or a rule changes, while its request waits: nothing is sent that is owed to nobody.
#include <optional>

#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;
using silverrail::routing::Condition;

namespace {

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
        client.send("GET /early");
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
        server.behaviour = Server::Behaviour::never_respond;
        router.list_with_sources({listed("s-a", server.address())});
        Client holds{io, router.server.local()};  // the only socket to servers
        holds.send(make_request("pages", kObject));
        run_until(io, [&] { return server.seen.size() == 1; });
        RawClient leaves{io, router.server.local(), text_of(make_request("pages", "00000000000000aa"))};
        run_until(io, [&] { return router.engine.open() == 2; });
        go(io, router, leaves, way);
        server.behaviour = Server::Behaviour::answer;
        holds.leave();
        run_until(io, [&] { return router.engine.open() == 0; });
        // The socket is free; the next who asks gets it.
        Client next{io, router.server.local()};
        next.send(make_request("pages", "00000000000000bb"));
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
            server.behaviour = Server::Behaviour::never_respond;
            router.list_with_sources({listed("s-a", retry ? server.address() : held.address())});
            RawClient leaves{io, router.server.local(), text_of(make_request("pages", kObject))};
            run_until(io, [&] { return router.engine.counters().sent == 1; });
            if (retry) {
                run_until(io, [&] { return server.seen.size() == 1; });
                router.list({listed("s-b", held.address())}, false);
                server.reset_connections();
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
        one.behaviour = other.behaviour = Server::Behaviour::never_respond;
        Router router{io};
        router.list_with_sources({listed("s-a", one.address()), listed("s-b", other.address())});
        const auto begin = router.clock.now();
        RawClient client{io, router.server.local(), text_of(make_request("pages", kObject))};
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

// A keyed request may have run; its repeat waits for a connection until the window of 900 ms is over.
void repeats_are_checked_again_when_a_connection_comes_up() {
    asio::io_context io;
    Server server{io};
    HeldServer held{io};
    Router router{io, {}, 1000, patient()};
    server.behaviour = Server::Behaviour::never_respond;
    router.list_with_sources({listed("s-a", server.address())});
    Client client{io, router.server.local()};
    const auto begin = router.clock.now();
    client.send(make_request("order", kObject));
    run_until(io, [&] { return server.seen.size() == 1; });
    router.list({listed("s-b", held.address())}, false);
    server.reset_connections();
    run_until(io, [&] { return router.engine.counters().sent == 2; });
    run_until(io, [&] { return router.clock.now() >= begin + 900ms; });
    held.open();
    run_until(io, [&] { return held.connections == 1; });
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 503 && held.heard.empty());
    CHECK(router.engine.counters().held_at_first_byte == 1);
}

// The request is not given up for another server meanwhile, as one that may be repeated would be.
void drains_are_checked_again_when_a_connection_comes_up() {
    asio::io_context io;
    Server server{io};
    HeldServer held{io};
    Router router{io, {}, 1000, patient()};
    auto draining = listed("s-a", held.address());
    router.list_with_sources({draining});
    Client client{io, router.server.local()};
    client.send(make_request("lodge", kObject));
    run_until(io, [&] { return router.engine.counters().sent == 1; });
    draining.entry.condition = Condition::draining;
    router.list({listed("s-b", server.address()), draining}, false);
    held.open();
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 200 && server.seen.size() == 1 && held.heard.empty());
}

}  // namespace

int main() {
    nothing_is_sent_for_a_client_that_left_waiting_for_a_socket();
    nothing_is_sent_for_a_client_that_left_during_a_connect();
    nothing_is_sent_for_a_client_that_left_before_a_hedge();
    repeats_are_checked_again_when_a_connection_comes_up();
    drains_are_checked_again_when_a_connection_comes_up();
    std::puts("endings: nothing is sent for clients that have left");
}

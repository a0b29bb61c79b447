// When a connection to a server may be reused. Guards against a response that is taken for the response to
// another request.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// A response arrives before its request has been written completely: the connection cannot be reused.
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
    Request large = make_request("lodge", kObject);
    large.body() = std::string(60'000, 'x');
    Client client{io, router.server.local()};
    client.send(large);
    // Its connection is being established and has not been written to: from now on it accepts few bytes at
    // once.
    run_until(io, [&] { return router.engine.counters().sent == 1; });
    CHECK(shrink_send_buffers(acceptor.local_endpoint()) == 1);
    run_until(io, [&] { return servers.size() == 1 && servers[0]->available() > 0; });
    CHECK(router.engine.counters().backend_calls == 0);
    const std::string response = "HTTP/1.1 500 Early\r\nContent-Length: 0\r\n\r\n";
    asio::write(*servers[0], asio::buffer(response));
    run_until(io, [&] { return client.done; });
    CHECK(client.status() == 502 && router.pool.connections() == 0);
}

// A second response, some ms after a good one, must not be taken for the response to the next request: a
// connection is reused only after a minimum idle time.
void second_responses_are_not_taken_for_the_next_request() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    Client client{io, router.server.local()};
    client.send(make_request("pages", kObject));
    run_until(io, [&] { return client.done; });
    client.send(make_request("pages", "00000000000000aa"));
    run_until(io, [&] { return server.seen.size() == 2; });
    CHECK(server.seen[0].connection != server.seen[1].connection);
    run_until(io, [&] { return client.done; });
    // After that time it is reused.
    wait_until_reusable(io, router);
    client.send(make_request("pages", "00000000000000bb"));
    run_until(io, [&] { return client.done; });
    CHECK(server.connections == 2 && server.seen.size() == 3 && client.status() == 200);
}

}  // namespace

int main() {
    early_responses_end_the_connection();
    second_responses_are_not_taken_for_the_next_request();
    std::puts("connection_reuse: no response is taken for another request's");
}

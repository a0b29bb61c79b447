// When a connection to a server may be used again.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

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
    Request large = make_request("lodge", kObject);
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
    client.send(make_request("pages", kObject));
    run_until(io, [&] { return client.done; });
    client.send(make_request("pages", "00000000000000aa"));
    run_until(io, [&] { return server.seen.size() == 2; });
    CHECK(server.seen[0].connection != server.seen[1].connection);
    run_until(io, [&] { return client.done; });
    // Rested, it is used.
    rest(io, router);
    client.send(make_request("pages", "00000000000000bb"));
    run_until(io, [&] { return client.done; });
    CHECK(server.connections == 2 && server.seen.size() == 3 && client.status() == 200);
}

}  // namespace

int main() {
    early_responses_end_the_connection();
    second_responses_are_not_taken_for_the_next_request();
    std::puts("endings: no response is taken for another request's");
}

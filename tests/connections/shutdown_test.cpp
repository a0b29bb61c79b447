// The server ends while something is still owed: it is answered first.
#include <array>
#include <optional>

#include "fixture.h"
#include "net/listener.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// Reads all that comes until the connection ends.
struct FinalReader {
    explicit FinalReader(tcp::socket& s) : socket(s) {
        read();
    }
    void read() {
        socket.async_read_some(asio::buffer(part), [this](const net::error_code& error, std::size_t got) {
            heard.append(part.data(), got);
            if (error)
                ended = error;
            else
                read();
        });
    }
    tcp::socket& socket;
    std::array<char, 8192> part{};
    std::string heard;
    std::optional<net::error_code> ended;
};

// The end of the server: who rests sees a plain end, and what crosses it is not sent on; who was promised a
// further answer and has asked gets it.
void shutdown_answers_promised_requests() {
    asio::io_context io;
    Server server{io};
    Router router{io};
    router.list_with_sources({listed("s-a", server.address())});
    RawClient rests{io, router.server.local(), text_of(make_request("pages", kObject))};
    run_until(io, [&] { return rests.heard.find("bytes of the object") != std::string::npos; });
    const std::size_t answer = rests.heard.size();
    // Does not read its answer yet, so the router is still writing when it is told to end.
    server.response = Server::hit(std::string(240'000, 'b'));
    tcp::socket reader{io};
    ask_narrowly(io, router, reader, make_request("pages", "00000000000000aa"));
    CHECK(router.server.connections() == 2);
    run_until(io, [&] { return router.engine.counters().served == 2 && reader.available() > 0; });
    router.server.stop();
    rests.send(text_of(make_request("pages", "00000000000000bb")));
    asio::write(reader, asio::buffer(text_of(make_request("pages", "00000000000000cc"))));
    run_until(io, [&] { return rests.ended; });
    // Its connection was not reset: more would still be taken and thrown away.
    CHECK(rests.clean && rests.heard.size() == answer && rests.takes_more());
    FinalReader rest{reader};
    run_until(io, [&] { return rest.ended.has_value(); });
    CHECK(rest.ended == asio::error::eof);
    const auto second = rest.heard.find("HTTP/1.1 200", 8);
    CHECK(second != std::string::npos && rest.heard.find("Connection: close", second) != std::string::npos);
    CHECK(rest.heard.size() > 480'000);
    for (const auto& seen : server.seen)
        CHECK(seen.request.target().find("bb") == net::beast::string_view::npos);
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
            server.behaviour = Server::Behaviour::never_respond;
            Request behind = make_request("lodge", kObject);
            behind.body() = std::string(length, 'w');
            RawClient client{io, router.server.local(),
                             text_of(make_request("pages", kObject)) + text_of(behind) +
                                 text_of(make_request("pages", "00000000000000aa"))};
            run_until(io, [&] { return server.seen.size() == 1; });
            run_until(io, [&] { return io.poll() == 0; });
            if (retires_first)
                router.server.stop_accepting();
            router.server.stop();
            server.behaviour = Server::Behaviour::answer;
            server.reset_connections();  // the first one's attempt ends, and the next is answered
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
    pipelined_requests_are_answered_at_shutdown();
    shutdown_answers_promised_requests();
    std::puts("endings: shutdown loses nothing that is owed");
}

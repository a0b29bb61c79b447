// Tests the DNS server's sockets: TCP streams with several queries, and replies that are ready too late.
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

std::string with_length(const std::string& message) {
    return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)} +
           message;
}

// Collects all bytes received on a stream.
class StreamReader {
public:
    explicit StreamReader(tcp::socket& stream) : stream_(stream) {
        read();
    }
    // The length of the message at offset `at`, or std::nullopt while it is incomplete.
    std::optional<std::size_t> complete_message(std::size_t at) const {
        if (bytes.size() < at + 2 || bytes.size() < at + 2 + number(bytes, at, 2))
            return std::nullopt;
        return number(bytes, at, 2);
    }
    std::string bytes;

private:
    void read() {
        stream_.async_read_some(net::asio::buffer(part_),
                                [this](const net::error_code& error, std::size_t size) {
                                    bytes.append(part_.data(), size);
                                    if (!error)
                                        read();
                                });
    }
    tcp::socket& stream_;
    std::array<char, 4096> part_{};
};

// Two queries sent back to back on one TCP connection (RFC 7766), the first split over two writes.
void streams_carry_several_queries() {
    net::asio::io_context io;
    DnsRouter router{io};
    router.list({listed("s-a", "127.0.1.1:80")});
    for (int i = 0; i < 8; ++i)
        router.front_end.add_txt_record(*parse_name("t.route.example"), std::string(200, 'x'));
    tcp::socket stream{io};
    stream.connect(router.server.tcp_local());
    const std::string queries = with_length(query("t.route.example", RecordType::txt)) +
                                with_length(query(kObject + ".pages.route.example"));
    net::asio::write(stream, net::asio::buffer(queries.substr(0, 7)));
    net::asio::write(stream, net::asio::buffer(queries.substr(7)));
    StreamReader reader{stream};
    run_until(io, [&] {
        const auto first = reader.complete_message(0);
        return first && reader.complete_message(2 + *first);
    });
    const std::size_t first = *reader.complete_message(0);
    const std::string_view bytes = reader.bytes;
    CHECK(read_reply(bytes.substr(2, first)).answers == 8);
    CHECK(read_reply(bytes.substr(4 + first)).address == "127.0.1.1");
}

// A reply that names a server must not be sent after its send_by time; its replacement is sent instead.
void late_replies_are_replaced_by_errors() {
    net::asio::io_context io;
    ManualClock clock;
    Log log;
    net::DnsReplyHandler held;
    net::DnsServer server{io, {}, [&](auto, auto, auto reply) { held = std::move(reply); }, clock, log};
    server.listen_udp({net::asio::ip::make_address("127.0.0.1"), 0});
    for (const bool in_time : {true, false}) {
        held = nullptr;
        std::string got;
        net::asio::ip::udp::socket socket{io, {net::asio::ip::udp::v4(), 0}};
        std::array<char, 64> buffer{};
        socket.async_receive(net::asio::buffer(buffer),
                             [&](const net::error_code&, std::size_t n) { got.assign(buffer.data(), n); });
        socket.send_to(net::asio::buffer("query"s), server.udp_local());
        run_until(io, [&] { return bool(held); });
        const auto send_by = clock.now() + 500ms;
        clock.passed += in_time ? 499ms : 501ms;
        held({"names a server", send_by, "names none"});
        run_until(io, [&] { return !got.empty(); });
        CHECK(got == (in_time ? "names a server" : "names none"));
    }
}

// A server that stops answers the queries that have come, also those that it has not read yet, and then
// closes.
void a_stopped_server_answers_what_has_come() {
    net::asio::io_context io;
    ManualClock clock;
    Log log;
    std::vector<net::DnsReplyHandler> held;
    net::DnsServer server{
        io, {}, [&](auto, auto, auto reply) { held.push_back(std::move(reply)); }, clock, log};
    server.listen_udp({net::asio::ip::make_address("127.0.0.1"), 0});
    server.listen_tcp(loopback());
    tcp::socket stream{io};
    stream.connect(server.tcp_local());
    net::asio::write(stream, net::asio::buffer(with_length("query")));
    run_until(io, [&] { return held.size() == 1; });
    net::asio::ip::udp::socket socket{io, {net::asio::ip::udp::v4(), 0}};
    const auto at = server.udp_local();
    for (int i = 0; i < 2; ++i)
        socket.send_to(net::asio::buffer("query"s), at);
    server.stop();
    CHECK(held.size() == 3);
    StreamReader reader{stream};
    for (auto& reply : std::exchange(held, {}))
        reply({"answer"});
    std::array<char, 64> buffer{};
    for (int i = 0; i < 2; ++i)
        CHECK(socket.receive(net::asio::buffer(buffer)) == 6);
    run_until(io, [&] { return reader.complete_message(0) && server.connections() == 0; });
    net::asio::ip::udp::socket next{io};
    next.open(net::asio::ip::udp::v4());
    next.bind(at);  // throws if the address is still in use
}

}  // namespace

int main() {
    a_stopped_server_answers_what_has_come();
    streams_carry_several_queries();
    late_replies_are_replaced_by_errors();
    std::puts("dns server: streamed queries get full responses, and late replies are replaced");
}

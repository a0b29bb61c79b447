// A router's DNS server on real sockets and a client that queries it. A manual clock lets the seconds of a
// drain pass without waiting and makes the results deterministic.
#pragma once

#include <functional>

#include "../silverrail/test_fixture.h"
#include "front/dns/dns_front_end.h"
#include "net/dns_server.h"

namespace silverrail::test {

using namespace front::dns;
using namespace std::string_literals;
using routing::Condition;

class ManualClock : public core::Clock {
public:
    core::Time now() const override {
        return core::Time{1000s} + passed;
    }
    std::int64_t unix_ms() const override {
        return 1'764'576'000'000 + passed / 1ms;
    }
    core::Span passed{};
};

struct UnusedTimers : core::Timers {
    Handle at(core::Time, std::function<void()>) override {
        return ++last;
    }
    void cancel(Handle) override {}
    Handle last = 0;
};

// Fails the test on any attempt: redirected requests must not be sent to servers by the router.
struct UnusedSender : core::AttemptSender {
    void start(core::AttemptRequest, core::AttemptEvents&) override {
        CHECK(!"an attempt was sent");
    }
    void cancel(const core::AttemptKey&) override {}
    void discard_connections(const core::ServerId&) override {}
};

inline ZoneSettings zone() {
    ZoneSettings z;
    z.name = *parse_name("route.example");
    z.name_server = *parse_name("ns1.route.example");
    z.name_server_address = "127.0.0.53";
    z.mailbox = *parse_name("hostmaster.example");
    return z;
}

struct DnsRouter {
    explicit DnsRouter(net::asio::io_context& io, ZoneSettings z = zone())
        : engine(settings(), 7, 1000, clock, timers, sender, log),
          front_end(engine, clock, std::move(z), log),
          server(
              io, {}, [this](auto q, auto d, auto r) { front_end.handle(q, d, std::move(r)); }, clock, log) {
        server.listen_udp({net::asio::ip::make_address("127.0.0.1"), 0});
        server.listen_tcp(loopback());
    }
    void list(std::vector<core::Server> servers, bool complete = true) {
        if (complete) {
            servers.push_back(listed("s-parent", "127.0.0.1:9", "parent"));
            servers.push_back(listed("s-origin", "127.0.0.1:9", "origin"));
        }
        engine.apply(core::ServerChange{complete, std::move(servers)});
    }
    ManualClock clock;
    UnusedTimers timers;
    UnusedSender sender;
    Log log;
    core::Engine engine;
    DnsFrontEnd front_end;
    net::DnsServer server;
};

inline std::string query(const std::string& name, RecordType type = RecordType::a, bool edns = true) {
    std::string q = "\x12\x34\1\0\0\1\0\0\0\0\0"s + (edns ? '\1' : '\0') + encode_name(*parse_name(name));
    q += {'\0', static_cast<char>(type), '\0', '\1'};
    return edns ? q + "\0\0\x29\x04\xd0\0\0\0\0\0\0"s : q;
}

struct Reply {
    int rcode = -1;
    bool truncated = false;
    std::size_t answers = 0;
    std::size_t authority = 0;
    std::string address;  // of the first A answer
    std::uint32_t ttl = 0;
    int extended = -1;
};

inline std::uint32_t number(std::string_view bytes, std::size_t at, std::size_t count) {
    std::uint32_t v = 0;
    for (std::size_t i = 0; i < count; ++i)
        v = v << 8 | static_cast<unsigned char>(bytes.at(at + i));
    return v;
}

// Parses responses of this server only: owner names are assumed to be compression pointers.
inline Reply read_reply(std::string_view b) {
    Reply r;
    CHECK(b.size() >= 12 && number(b, 0, 2) == 0x1234 && (b[2] & 0x80));
    r.rcode = b[3] & 0xf;
    r.truncated = b[2] & 2;
    r.answers = number(b, 6, 2);
    r.authority = number(b, 8, 2);
    std::size_t at = 12;
    if (number(b, 4, 2) == 1) {
        while (b.at(at) != 0)
            at += static_cast<unsigned char>(b[at]) + 1u;
        at += 5;
    }
    for (std::size_t i = 0; i < r.answers + r.authority + number(b, 10, 2); ++i) {
        at += b.at(at) == 0 ? 1 : 2;
        const auto type = number(b, at, 2);
        const auto size = number(b, at + 8, 2);
        if (i == 0 && r.answers > 0 && type == 1) {
            r.ttl = number(b, at + 4, 4);
            for (std::size_t k = 0; k < 4; ++k)
                r.address += (k ? "." : "") + std::to_string(number(b, at + 10 + k, 1));
        }
        if (type == 41 && size >= 6 && number(b, at + 10, 2) == 15)
            r.extended = static_cast<int>(number(b, at + 14, 2));
        at += 10 + size;
    }
    CHECK(at == b.size());
    return r;
}

class UdpClient {
public:
    UdpClient(net::asio::io_context& io, const net::asio::ip::udp::endpoint& to)
        : io_(io), socket_(io, {net::asio::ip::udp::v4(), 0}), to_(to) {}
    std::string raw(const std::string& bytes) {
        socket_.send_to(net::asio::buffer(bytes), to_);
        std::size_t got = 0;
        socket_.async_receive(net::asio::buffer(buffer_),
                              [&](const net::error_code&, std::size_t n) { got = n; });
        run_until(io_, [&] { return got > 0; });
        return {buffer_.data(), got};
    }
    Reply ask(const std::string& bytes) {
        return read_reply(raw(bytes));
    }

private:
    net::asio::io_context& io_;
    net::asio::ip::udp::socket socket_;
    net::asio::ip::udp::endpoint to_;
    std::array<char, 2048> buffer_{};
};

inline const std::string kObject = "7f3a9c21e0b4d655";
inline std::string name_of(int i) {
    return "lot-17.0000000000000" + std::to_string(100 + i) + ".pages.route.example";
}

}  // namespace silverrail::test

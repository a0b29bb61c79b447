// Upgrades of the real program with its DNS front on: every query is answered throughout.
#include "../dns/fixture.h"
#include "router_process.h"

using namespace silverrail;
using namespace silverrail::test;
namespace asio = net::asio;

namespace {

// Asks a router's DNS front over UDP, each query repeated once, and over TCP, each on a new connection.
class DnsClients {
public:
    DnsClients(asio::io_context& io, const tcp::endpoint& to) : io_(io), to_(to) {}
    void ask() {
        const bool answered_by_udp = ask_udp() || ask_udp();
        unanswered += (answered_by_udp ? 0 : 1) + (ask_tcp() ? 0 : 1);
        asked += 2;
    }
    std::size_t asked = 0;
    std::size_t unanswered = 0;

private:
    static constexpr auto kTimeout = 1s;
    bool wait_for(const bool& done) {
        const auto give_up = std::chrono::steady_clock::now() + kTimeout;
        run_until(io_, [&] { return done || std::chrono::steady_clock::now() > give_up; });
        return done;
    }
    bool ask_udp() {
        asio::ip::udp::socket socket{io_, {asio::ip::udp::v4(), 0}};
        socket.send_to(asio::buffer(kQuery), {to_.address(), to_.port()});
        std::array<char, 2048> buffer{};
        bool done = false;
        socket.async_receive(asio::buffer(buffer),
                             [&](const net::error_code& error, std::size_t) { done = !error; });
        const bool answered = wait_for(done);
        socket.close();
        io_.poll();  // the handler refers to this call's variables
        return answered;
    }
    bool ask_tcp() {
        tcp::socket socket{io_};
        net::error_code error;
        socket.connect(to_, error);
        if (error)
            return false;
        const std::string message =
            std::string{'\0', static_cast<char>(static_cast<unsigned char>(kQuery.size()))} + kQuery;
        asio::write(socket, asio::buffer(message), error);
        std::array<char, 2> length{};
        bool done = false;
        asio::async_read(socket, asio::buffer(length),
                         [&](const net::error_code& failed, std::size_t) { done = !failed; });
        const bool answered = wait_for(done);
        socket.close();
        io_.poll();
        return answered;
    }
    const std::string kQuery = test::query("lot-17." + test::kObject + ".pages.route.example");
    asio::io_context& io_;
    tcp::endpoint to_;
};

// review/9: the second process could not bind the addresses of the DNS front, and ended.
void the_dns_front_passes_to_the_next_process() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    const tcp::endpoint dns = free_endpoint();
    tcp::endpoint control = free_endpoint();
    const std::string settings = R"({"dns":{"udp":")" + text_of(dns) + R"(","tcp":")" + text_of(dns) +
                                 R"(","zone":"route.example","server":"ns1.route.example"}})";
    RouterProcess program{
        discovery.address(), server.address(), text_of(control), nullptr, {.operator_settings = settings}};
    pid_t serving = program.pid();
    run_until(io, [&] { return is_ready(io, control); });
    DnsClients clients{io, dns};
    for (int upgrade = 0; upgrade < 3; ++upgrade) {
        const pid_t next = program.start(text_of(control = free_endpoint()));
        run_until(io, [&] {
            clients.ask();
            return is_ready(io, control);
        });
        CHECK(::kill(serving, SIGTERM) == 0);
        run_until(io, [&] {
            clients.ask();
            return has_ended(serving, false);
        });
        clients.ask();
        serving = next;
    }
    std::printf("upgrades with the DNS front: %zu queries, %zu unanswered\n", clients.asked,
                clients.unanswered);
    CHECK(clients.asked > 20 && clients.unanswered == 0);
    CHECK(::kill(serving, SIGTERM) == 0);
    run_until(io, [&] { return has_ended(serving, false); });
}

}  // namespace

int main() {
    the_dns_front_passes_to_the_next_process();
    std::puts("upgrade: the new process takes the DNS front over and every query is answered");
}

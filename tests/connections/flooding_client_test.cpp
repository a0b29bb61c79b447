// Guards against one client that sends at full speed on one connection, for seconds and under ever new names:
// others must get their answers within their class's latency objective, and memory must stay within the
// limit. With the real program, at the smallest limits, and during an upgrade.
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "../silverrail/router_process.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

constexpr int kMegabytes = 32;
constexpr auto kFlooded = 2s;
// Of class "pages" in the process's settings.
constexpr auto kLatencyObjective = 250ms;
constexpr std::size_t kUsualInFlood = 40;  // answers that are judged
constexpr std::size_t kNinetiethIn = 10;   // one in so many may take longer

std::size_t resident_kb(pid_t pid, const char* figure) {
    std::ifstream in{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(figure))
            return std::stoul(line.substr(std::string_view{figure}.size()));
    return 0;
}

// The text of the `number`-th request.
using NextRequest = std::string (*)(std::uint64_t number);

// Clients that each write one request after the other on one connection, without waiting for answers.
class Flood {
public:
    Flood(const tcp::endpoint& to, NextRequest next, int clients) {
        for (int i = 0; i < clients; ++i)
            threads_.emplace_back(
                [this, to, next, i] { run(to, next, static_cast<std::uint64_t>(i) << 32); });
    }
    ~Flood() {
        stopping_ = true;
        for (auto& thread : threads_)
            thread.join();
    }
    std::uint64_t sent() const {
        return sent_;
    }

private:
    void run(const tcp::endpoint& to, NextRequest next, std::uint64_t number) {
        asio::io_context io;
        while (!stopping_) {
            tcp::socket socket{io};
            net::error_code error;
            socket.connect(to, error);
            socket.non_blocking(true, error);
            if (!error)
                write_until_closed(socket, next, number);
        }
    }
    void write_until_closed(tcp::socket& socket, NextRequest next, std::uint64_t& number) {
        std::string unsent;
        char received[16 * 1024];
        while (!stopping_) {
            while (unsent.size() < sizeof received)
                unsent += next(++number);
            pollfd ready{socket.native_handle(), POLLIN | POLLOUT, 0};
            if (::poll(&ready, 1, 100) < 0)
                return;
            if ((ready.revents & POLLIN) != 0 &&
                ::recv(socket.native_handle(), received, sizeof received, 0) <= 0)
                return;
            if ((ready.revents & POLLOUT) == 0)
                continue;
            const auto written = ::send(socket.native_handle(), unsent.data(), unsent.size(), MSG_NOSIGNAL);
            if (written <= 0)
                return;
            sent_ += static_cast<std::uint64_t>(written);
            unsent.erase(0, static_cast<std::size_t>(written));
        }
    }
    std::atomic<bool> stopping_ = false;
    std::atomic<std::uint64_t> sent_ = 0;  // bytes
    std::vector<std::thread> threads_;
};

std::string hex(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15U));
    return text;
}

std::string read_request(const std::string& target, std::uint64_t number, const std::string& fields = "") {
    return "GET " + target + " HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + hex(number) +
           "\r\nMax-Wait-Ms: 1000\r\n" + fields + "\r\n";
}

struct Scenario {
    const char* name;
    NextRequest next;
    int clients = 1;
};

const std::vector<Scenario> kScenarios{
    {"new objects",
     [](std::uint64_t n) {
         return read_request("/ops/pages/" + hex(n) + "/piece-0", n);
     }},
    {"new objects of several clients",
     [](std::uint64_t n) { return read_request("/ops/pages/" + hex(n) + "/piece-0", n); }, 8},
    {"conditional reads",
     [](std::uint64_t n) {
         return read_request("/ops/pages/" + hex(n % 7) + "/piece-0", n,
                             "If-None-Match: \"" + hex(n) + "\"\r\n");
     }},
    {"unknown classes",
     [](std::uint64_t n) {
         return read_request("/ops/class-" + hex(n) + "/" + hex(n) + "/piece-0", n);
     }},
    {"unsound targets",
     [](std::uint64_t n) {
         return read_request("/" + hex(n) + std::string(200, 'x'), n);
     }},
    {"missing fields",
     [](std::uint64_t n) {
         return "GET /ops/pages/" + hex(n) + "/piece-0 HTTP/1.1\r\nHost: a\r\n\r\n";
     }},
    {"health",
     [](std::uint64_t) {
         return std::string{"GET /alive HTTP/1.1\r\nHost: a\r\n\r\n"};
     }},
    {"counters",
     [](std::uint64_t) {
         return std::string{"GET /counters HTTP/1.1\r\nHost: a\r\n\r\n"};
     }},
    {"not HTTP",
     [](std::uint64_t n) {
         return hex(n) + "\r\n\r\n";
     }},
    {"small writes",
     [](std::uint64_t n) {
         return "PUT /ops/lodge/" + hex(n) + "/piece-0 HTTP/1.1\r\nHost: a\r\nTrace-Id: " + hex(n) +
                "\r\nMax-Wait-Ms: 1000\r\nContent-Length: 2\r\n\r\nok";
     },
     8},
    {"new field names",
     [](std::uint64_t n) {
         return read_request("/ops/pages/" + hex(n % 5) + "/piece-0", n, "X-" + hex(n) + ": 1\r\n");
     }},
};

// Reads one after the other, each on a new connection. Returns how long the slowest tenth took at least.
std::chrono::milliseconds latency_of_usual_reads(asio::io_context& io, const tcp::endpoint& at) {
    std::vector<std::chrono::milliseconds> took;
    for (std::size_t i = 0; i < kUsualInFlood; ++i) {
        const auto began = std::chrono::steady_clock::now();
        Client client{io, at};
        client.send(make_request("pages", hex(i), 3000));
        run_until(io, [&] { return client.done; });
        CHECK(!client.broken);
        took.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began));
    }
    std::sort(took.begin(), took.end());
    return took[took.size() - took.size() / kNinetiethIn];
}

void others_are_served_while_a_client_floods(const Scenario& scenario, bool in_upgrade) {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    const tcp::endpoint first = free_endpoint();
    const tcp::endpoint second = free_endpoint();
    RouterProcess program{discovery.address(),
                          server.address(),
                          text_of(first),
                          nullptr,
                          {.sockets = 256, .memory_mb = kMegabytes, .operator_settings = "{}"}};
    run_until(io, [&] { return is_ready(io, first); });
    pid_t judged = program.pid();
    if (in_upgrade) {
        judged = program.start(text_of(second));
        run_until(io, [&] { return is_ready(io, second); });
    }
    std::chrono::milliseconds slow{};
    {
        const Flood flood{program.at, scenario.next, scenario.clients};
        const auto end = std::chrono::steady_clock::now() + kFlooded;
        while (std::chrono::steady_clock::now() < end)
            slow = std::max(slow, latency_of_usual_reads(io, program.at));
        CHECK(flood.sent() > 0);
    }
    const std::size_t peak_kb = resident_kb(judged, "VmHWM:");
    std::fprintf(stderr, "%s%s: slowest tenth from %lld ms, peak %zu KB\n", scenario.name,
                 in_upgrade ? ", at the second process" : "", static_cast<long long>(slow.count()), peak_kb);
    CHECK(slow < kLatencyObjective);
    const int share = in_upgrade ? 2 : 1;
    CHECK(peak_kb < static_cast<std::size_t>(kMegabytes) * 1024 * 9 / 10 / static_cast<std::size_t>(share));
    if (in_upgrade)
        CHECK(::kill(judged, SIGKILL) == 0 && ::waitpid(judged, nullptr, 0) == judged);
}

// Lines at the control address, beside the requests of usual clients.
void others_are_served_while_an_operator_floods() {
    asio::io_context io;
    DiscoveryServer discovery{io};
    Server server{io};
    const tcp::endpoint control = free_endpoint();
    RouterProcess program{discovery.address(),
                          server.address(),
                          text_of(control),
                          nullptr,
                          {.sockets = 256, .memory_mb = kMegabytes, .operator_settings = "{}"}};
    run_until(io, [&] { return is_ready(io, control); });
    std::chrono::milliseconds slow{};
    {
        const Flood flood{control, [](std::uint64_t n) { return "OFFLINE s-" + hex(n) + "\n"; }, 1};
        const auto end = std::chrono::steady_clock::now() + kFlooded;
        while (std::chrono::steady_clock::now() < end)
            slow = std::max(slow, latency_of_usual_reads(io, program.at));
    }
    const std::size_t peak_kb = resident_kb(program.pid(), "VmHWM:");
    std::fprintf(stderr, "control address: slowest tenth from %lld ms, peak %zu KB\n",
                 static_cast<long long>(slow.count()), peak_kb);
    CHECK(slow < kLatencyObjective && peak_kb < static_cast<std::size_t>(kMegabytes) * 1024 * 9 / 10);
}

}  // namespace

int main() {
    for (const Scenario& scenario : kScenarios)
        others_are_served_while_a_client_floods(scenario, false);
    others_are_served_while_a_client_floods(kScenarios.front(), true);
    others_are_served_while_an_operator_floods();
    std::puts("flooding client: all cases passed");
}

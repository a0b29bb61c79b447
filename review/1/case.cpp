// One bad client sends a message that never ends: the extension of a chunk. The router must stay under
// `memory_mb`, and answer what usual clients have sent.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 192;  // the most that the pages give
constexpr int kSockets = 1024;
constexpr int kUsualClients = 20;
constexpr std::int64_t kServerMs = 300;    // a server's time for an answer
constexpr std::int64_t kTroubleMs = 3000;  // from connecting; an end is owed by then
constexpr std::size_t kBlockBytes = 65'536;
constexpr long kKbPerMb = 1024;

std::string answer(const ServerRequest& request) {
    record.line("a server runs call %s, %s", request.call_id.c_str(), request.path.c_str());
    sleep_ms(kServerMs);
    return server_answer("200 OK", "Tag: t1\r\nMade-At: " + std::to_string(unix_ms()) + "\r\nDetail: hit\r\n",
                         request.path);
}

struct Results {
    std::atomic<bool> done{false};
    std::atomic<int> served{0};
    std::atomic<int> other{0};
    std::atomic<int> unanswered{0};
};

// Asks again and again, each time on a new connection, until the router refuses connections.
void be_usual_client(const std::string& router, int number, const std::atomic<bool>& killed,
                     Results& results) {
    for (int i = 0; !results.done; ++i) {
        ClientRequest request;
        request.class_name = "bulk-files";
        request.object = object_id(0x1000 * (number + 1) + i);
        const int fd = connect_to(router);
        if (fd < 0)
            return;
        std::string rest;
        const bool sent = send_all(fd, request.text());
        const bool to_dead_router = killed;
        const Message got = sent ? read_message(fd, rest) : Message{};
        ::close(fd);
        if (got.complete)
            ++(got.status() == 200 ? results.served : results.other);
        else if (sent && !to_dead_router)
            ++results.unanswered;
        record.line("client %s: %s, answer %d", request.id.c_str(), sent ? "sent" : "not sent", got.status());
    }
}

// Returns the number of bytes that it could send.
std::size_t be_bad_client(const std::string& router, const std::atomic<bool>& stop) {
    const int fd = connect_to(router);
    const std::int64_t began = unix_ms();
    if (fd < 0)
        could_not_run("the bad client cannot connect");
    ClientRequest request;
    request.method = "PUT";
    request.class_name = "pay-run-lodge";
    request.object = object_id(0x99);
    request.headers = "Transfer-Encoding: chunked\r\n";
    std::string head = request.text();
    head.erase(head.find("Content-Length: 0\r\n"), std::strlen("Content-Length: 0\r\n"));
    if (!with_trouble()) {
        std::string rest;
        send_all(fd, head + "5;note=short\r\nhours\r\n0\r\n\r\n");
        record.line("the client's message with a short extension: answer %d",
                    read_message(fd, rest).status());
        ::close(fd);
        return 0;
    }
    send_all(fd, head + "5;note=");
    const std::string block(kBlockBytes, 'x');
    std::size_t sent = 0;
    std::string received;
    while (!stop && unix_ms() - began < kTroubleMs && send_all(fd, block)) {
        sent += block.size();
        // It reads whatever it is sent.
        char chunk[4096];
        const auto got = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
        if (got > 0)
            received.append(chunk, static_cast<std::size_t>(got));
        if (got == 0)
            break;
    }
    record.line("the bad client sent %zu bytes of an extension in %lld ms and was sent %zu bytes", sent,
                static_cast<long long>(unix_ms() - began), received.size());
    ::close(fd);
    return sent;
}

Deployment deployment(const std::string& bulletin, const std::vector<std::unique_ptr<Server>>& servers) {
    Deployment out;
    out.bulletin = bulletin;
    out.memory_mb = kMemoryMb;
    out.sockets = kSockets;
    for (const auto& server : servers)
        out.servers.push_back(server->json());
    out.classes = R"({"name":"bulk-files","aim":400000000,"aim-stretch":1.6,"give-up":5000000000,
"effect":"pure","worth":2,"late-worth":0.15},{"name":"pay-run-lodge","aim":700000000,"give-up":3000000000,
"effect":"side_effect","worth":3})";
    out.per_class = R"("max-age":[0,0],"class-grace":[0,0],"stale-earns":[0.7,0.7],"segmented":[false,false],
"uncached":[false,true])";
    return out;
}

}  // namespace

int main(int, char** argv) {
    const std::string folder = argv[1];
    record.open(argv[2]);
    constexpr int kWeight = 60;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 4; ++i)
        servers.push_back(
            std::make_unique<Server>("s-" + std::to_string(i), "edge-1", "small-box", answer, kWeight));
    servers.push_back(std::make_unique<Server>("p-0", "north", "hub", answer, kWeight));
    servers.push_back(std::make_unique<Server>("o-0", "north", "store", answer, kWeight));
    Bulletin bulletin;
    const RouterFiles files{folder, "n0", free_address(), "", ""};
    write_file(folder + "/n0.json", configuration(files, deployment(bulletin.address(), servers)));
    Router router{files};
    router.wait_until_ready();
    record.line("the router is ready and holds %ld KB; memory_mb is %d", anonymous_kb(router.pid()),
                kMemoryMb);
    Results results;
    MemoryWatch watch{router, kMemoryMb};
    std::vector<std::thread> clients;
    for (int i = 0; i < kUsualClients; ++i)
        clients.emplace_back([&, i] { be_usual_client(files.listen, i, watch.killed(), results); });
    sleep_ms(1000);
    be_bad_client(files.listen, watch.killed());
    sleep_ms(500);
    results.done = true;
    for (auto& client : clients)
        client.join();
    watch.stop();
    record.line(
        "most memory %ld KB of %ld; of the usual clients' requests %d served, %d other, %d unanswered",
        watch.most_kb(), kMemoryMb * kKbPerMb, results.served.load(), results.other.load(),
        results.unanswered.load());
    if (results.served == 0)
        could_not_run("the usual clients got nothing");
    if (!watch.killed() && router.ended())
        could_not_run("the router ended for another reason than its memory");
    record.line(watch.killed() ? "BROKEN: the router was killed for memory" : "HELD");
    return watch.killed() ? kBroken : kHeld;
}

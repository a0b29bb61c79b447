// Discovery falls behind: what it writes comes in order and 9 s late, on a stream that stays open. A purge is
// among it.
#include "deployment.h"

using namespace kit;

int main(int argc, char** argv) {
    if (argc < 3 || !record.open(argv[2]))
        return kCouldNot;
    constexpr std::int64_t kBehindMs = 9000;
    constexpr std::int64_t kToldWithinMs = 7000 + 50;
    constexpr std::int64_t kHeedMs = 500 + 50;
    const Folder folder;
    // Every server gives out the object as it is now: with the purge, all older copies are gone from them at
    // once.
    std::atomic<std::int64_t> made{unix_ms() - 500};
    std::atomic<int> version{1};
    const auto answer = [&](const Message& request) {
        record.line("a server: asked %s %s, id %s", request.method().c_str(), request.target().c_str(),
                    request.header("call-id").c_str());
        const std::string tag = "00000000000000" + std::to_string(10 + version);
        return http_answer(200,
                           "Tag: " + tag + "\r\nMade-At: " + std::to_string(made) +
                               "\r\nDetail: hit\r\nBackend-Load: inflight:1;util:0.1;x1:0.1;x0:0.7\r\n",
                           "version " + std::to_string(version) + "\n");
    };
    Server c1{"s-00000001", "small-box", "edge-1", 5, answer},
        c2{"s-00000002", "large-box", "edge-1", 8, answer},
        parent{"s-0000000a", "parent", "central", 20, answer},
        origin{"s-0000000b", "origin", "north", 40, answer};
    Discovery discovery;
    RouterSettings settings;
    settings.discovery = discovery.address();
    for (Server* server : {&c1, &c2, &parent, &origin})
        settings.known += (settings.known.empty() ? "" : ",") + server->entry("active");
    const int port = free_port();
    write_file(folder.path() + "/config.json", config_text(settings, port, 0));
    Router router{argv[1], folder.path(), folder.path() + "/config.json", port, 0};
    if (!router.wait_ready(port, 20'000))
        return kCouldNot;
    record.line("router: ready");
    sleep_ms(9000);
    if (trouble())
        discovery.fall_behind(kBehindMs);
    sleep_ms(2 * kBehindMs + 2000);
    const std::string object = object_id(1);
    int served_old_late = 0, served = 0;
    std::int64_t binding_from = 0;
    const auto ask_once = [&] {
        const std::string id = new_id();
        const std::int64_t asked_at = record.now();
        const Answer got =
            ask(port, client_request("GET", "bulk-files", object, id, 3000, 17, "Reserve-Kb: 400\r\n"), 4000);
        std::string body = got.message.body;
        body.erase(std::remove(body.begin(), body.end(), '\n'), body.end());
        record.line("client: id %s answered %d, \"%s\"", id.c_str(), got.status(), body.c_str());
        served += got.status() == 200 ? 1 : 0;
        if (binding_from != 0 && asked_at > binding_from && got.status() == 200 && body == "version 1")
            ++served_old_late;
    };
    ask_once();
    if (served != 1)
        return kCouldNot;
    sleep_ms(500);
    const std::int64_t purged_at = record.now();
    discovery.publish("\"recall\":{\"item\":\"" + object + "\",\"issued\":" + std::to_string(unix_ms()) +
                      "}");
    sleep_ms(2);
    made = unix_ms();
    version = 2;
    binding_from = purged_at + kToldWithinMs + kHeedMs;
    while (record.now() < purged_at + 12'000) {
        ask_once();
        sleep_ms(150);
    }
    record.line("purged at %lld, counts as told at %lld at the latest, binds from %lld",
                static_cast<long long>(purged_at), static_cast<long long>(purged_at + kToldWithinMs),
                static_cast<long long>(binding_from));
    if (router.exited() || served < 20 || discovery.streams != 1)
        return kCouldNot;
    ::printf("%d answers with the purged copy later than 500 ms after the purge counts as told\n",
             served_old_late);
    return served_old_late > 0 ? kBroken : kHeld;
}

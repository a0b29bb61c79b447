// Discovery takes 6.8 s to answer each call for its stream. A cache begins to drain meanwhile.
#include "deployment.h"

using namespace kit;

int main(int argc, char** argv) {
    if (argc < 3 || !record.open(argv[2]))
        return kCouldNot;
    constexpr std::int64_t kAnswerAfterMs = 6800;
    constexpr std::int64_t kToldWithinMs = 7000 + 50;
    constexpr std::int64_t kGraceMs = 2000 + 50;
    const Folder folder;
    Shelf c1{"s-00000001", "small-box", "edge-1", 5}, c2{"s-00000002", "small-box", "edge-1", 5},
        c3{"s-00000003", "large-box", "edge-1", 8}, parent{"s-0000000a", "parent", "central", 20},
        origin{"s-0000000b", "origin", "north", 40};
    Discovery discovery;
    if (trouble())
        discovery.answer_after_ms = kAnswerAfterMs;
    RouterSettings settings;
    settings.discovery = discovery.address();
    for (Shelf* shelf : {&c1, &c2, &c3, &parent, &origin})
        settings.known += (settings.known.empty() ? "" : ",") + shelf->server().entry("active");
    const int port = free_port();
    write_file(folder.path() + "/config.json", config_text(settings, port, 0));
    Router router{argv[1], folder.path(), folder.path() + "/config.json", port, 0};
    if (!router.wait_ready(port, 20'000))
        return kCouldNot;
    record.line("router: ready");
    Readers readers{port, 4, 40};
    sleep_ms(3000);
    const std::int64_t drained_at = record.now();
    discovery.publish_list({c1.server().entry("leaving")});
    c1.drain();
    sleep_ms(40'000);
    readers.stop();
    const std::int64_t allowed_until = drained_at + kToldWithinMs + kGraceMs;
    const auto requests = c1.requests();
    const auto late =
        std::count_if(requests.begin(), requests.end(), [&](std::int64_t at) { return at > allowed_until; });
    const auto before =
        std::count_if(requests.begin(), requests.end(), [&](std::int64_t at) { return at < drained_at; });
    record.line("said to drain at %lld, counts as told at %lld at the latest, sends allowed until %lld",
                static_cast<long long>(drained_at), static_cast<long long>(drained_at + kToldWithinMs),
                static_cast<long long>(allowed_until));
    record.line(
        "requests at the draining cache: %zu, before the drain %lld, later than allowed %lld; streams opened "
        "%d",
        requests.size(), static_cast<long long>(before), static_cast<long long>(late),
        discovery.streams.load());
    record.line("clients: asked %d, served %d, refused %d, failed %d, unanswered %d", readers.asked.load(),
                readers.served.load(), readers.refused.load(), readers.failed.load(),
                readers.unanswered.load());
    if (router.exited() || readers.served < 100 || before < 5)
        return kCouldNot;
    ::printf("%lld requests to the draining cache later than 2 s after it counts as told\n",
             static_cast<long long>(late));
    return late > 0 ? kBroken : kHeld;
}

// An upgrade beside a process whose DNS front is on: the second process ends.
#include "deployment.h"

using namespace kit;

int main(int argc, char** argv) {
    if (argc < 3 || !record.open(argv[2]))
        return kCouldNot;
    const Folder folder;
    Shelf c1{"s-00000001", "small-box", "edge-1", 5}, c2{"s-00000002", "large-box", "edge-1", 8},
        parent{"s-0000000a", "parent", "central", 20}, origin{"s-0000000b", "origin", "north", 40};
    Discovery discovery;
    RouterSettings settings;
    settings.discovery = discovery.address();
    for (Shelf* shelf : {&c1, &c2, &parent, &origin})
        settings.known += (settings.known.empty() ? "" : ",") + shelf->server().entry("active");
    const int port = free_port(), first_control = free_port(), second_control = free_port(),
              dns = free_port();
    const std::string config = folder.path() + "/config.json", operators = folder.path() + "/silverrail.json";
    write_file(config, config_text(settings, port, first_control));
    write_file(operators,
               "{\"dns\":{\"udp\":\"127.0.0.1:" + std::to_string(dns) +
                   "\",\"zone\":\"route.branch-cache-qld.example\","
                   "\"server\":\"ns1.route.branch-cache-qld.example\",\"server_address\":\"127.0.0.1\","
                   "\"mailbox\":\"hostmaster.branch-cache-qld.example\",\"ttl_s\":1,\"deadline_ms\":1000}}");
    Router first{argv[1], folder.path(), config, port, first_control, operators, "first.log"};
    if (!first.wait_ready(port, 20'000) || !control(first_control, "HEALTH").starts_with("ACK"))
        return kCouldNot;
    record.line("first process: ready");
    Readers readers{port, 2, 40};
    sleep_ms(2000);
    bool broken = false;
    if (trouble()) {
        Router second{argv[1], folder.path(), config, port, second_control, operators, "second.log"};
        record.line("second process: started with the same addresses and a new second address");
        const std::int64_t began = record.now();
        std::string health;
        while (record.now() - began < 9000 && !second.exited() && !health.starts_with("ACK")) {
            health = control(second_control, "HEALTH");
            sleep_ms(100);
        }
        record.line("second process: %s after %lld ms, HEALTH gave \"%s\"", second.how_it_ended().c_str(),
                    static_cast<long long>(record.now() - began), health.c_str());
        for (const auto& line : second.log_lines(4))
            record.line("second process's log: %s", line.c_str());
        broken = second.exited() || !health.starts_with("ACK");
    } else {
        sleep_ms(9000);
    }
    readers.stop();
    record.line("clients: asked %d, served %d, refused %d, failed %d, unanswered %d", readers.asked.load(),
                readers.served.load(), readers.refused.load(), readers.failed.load(),
                readers.unanswered.load());
    if (readers.served < 20 || first.exited())
        return kCouldNot;
    ::printf("%s\n", broken ? "the second process ended by itself or gave no yes" : "no process ended");
    return broken ? kBroken : kHeld;
}

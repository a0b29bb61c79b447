// Clients behind caching resolvers, while servers drain and restart.
#include "config/endpoint.h"
#include "fixture.h"

using namespace silverrail;
using namespace silverrail::test;

namespace {

// A resolver that caches: as long as it is told, or longer.
class Resolver {
public:
    Resolver(Udp& udp, const HandClock& clock, core::Span overstay)
        : udp_(udp), clock_(clock), overstay_(overstay) {}
    std::string resolve(const std::string& name) {
        Entry& e = cache_[name];
        if (e.address.empty() || clock_.now() >= e.until) {
            const Reply r = udp_.ask(query(name));
            ++queries;
            e = {r.rcode == 0 ? r.address : "", clock_.now(), clock_.now() + std::chrono::seconds{r.ttl}};
            if (r.rcode == 0)
                e.until += overstay_;
        }
        asked_at = e.asked;
        return e.address;
    }
    int queries = 0;
    core::Time asked_at{};  // when the answer just given was asked for

private:
    struct Entry {
        std::string address;
        core::Time asked{};
        core::Time until{};
    };
    Udp& udp_;
    const HandClock& clock_;
    core::Span overstay_;
    std::map<std::string, Entry> cache_;
};

struct RequestCounts {
    int all = 0;
    int drained = 0;             // on a server, later than 2 s after it began to drain
    int starting = 0;            // on a server that has just started
    int starting_by_choice = 0;  // of those, by an answer given after its start was known
    int unresolved = 0;
};

// Three servers; the first drains after 3 s, the second starts anew after 8 s. Clients come through one
// resolver, ten requests a second of the test's clock, each with a real connection to the server that it was
// named.
class Scenario {
public:
    explicit Scenario(core::Span overstay) : resolver_(udp_, router_.clock, overstay) {
        for (int i = 1; i <= 3; ++i) {
            servers_.push_back(std::make_unique<Server>(io_, ("127.0.1." + std::to_string(i)).c_str()));
            listed_.push_back(listed("s-" + std::to_string(i), servers_.back()->address()));
        }
        router_.list(listed_);
    }
    RequestCounts run() {
        for (int step = 0; step < 200; ++step, router_.clock.passed += 100ms) {
            change_servers();
            request(name_of(step % 6));
        }
        CHECK(router_.engine.open() == 0);
        CHECK(resolver_.queries < counts_.all);  // it does cache
        return counts_;
    }

private:
    void change_servers() {
        const core::Time now = router_.clock.now();
        if (now == drains_at_) {
            listed_[0].entry.condition = Condition::draining;
            router_.list({listed_[0]}, false);
        }
        if (now == starts_at_) {
            listed_[1].entry.started_at = now;
            listed_[1].started_ms = router_.clock.unix_ms();
            router_.list({listed_[1]}, false);
        }
    }
    void request(const std::string& name) {
        const std::string address = resolver_.resolve(name);
        if (address.empty()) {
            ++counts_.unresolved;
            return;
        }
        const std::size_t index = server_at(address);
        send_to(*servers_[index], address);
        count(index);
    }
    std::size_t server_at(const std::string& address) const {
        std::size_t index = 0;
        while (index < servers_.size() && !servers_[index]->address().starts_with(address + ":"))
            ++index;
        CHECK(index < servers_.size());
        return index;
    }
    // The client goes where it was sent; the server has to see that.
    void send_to(const Server& server, const std::string& address) {
        const std::size_t seen_before = server.seen.size();
        const auto port = config::parse_endpoint(server.address())->port;
        Client client{io_, {net::asio::ip::make_address(address), port}};
        client.send(Request{net::http::verb::get, "/obj/pages/" + kObject + "/0", 11});
        run_until(io_, [&] { return client.done; });
        CHECK(client.status() == 200 && server.seen.size() == seen_before + 1);
    }
    void count(std::size_t server) {
        const core::Time now = router_.clock.now();
        ++counts_.all;
        counts_.drained += server == 0 && now > drains_at_ + 2s;
        const bool starting = server == 1 && now >= starts_at_;
        counts_.starting += starting;
        counts_.starting_by_choice += starting && resolver_.asked_at >= starts_at_;
    }

    net::asio::io_context io_;
    DnsRouter router_{io_};
    Udp udp_{io_, router_.server.udp_local()};
    Resolver resolver_;
    const core::Time drains_at_ = router_.clock.now() + 3s;
    const core::Time starts_at_ = router_.clock.now() + 8s;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<core::Server> listed_;
    RequestCounts counts_;
};

void print(const char* resolver, const RequestCounts& counts) {
    std::printf(
        "%s: %d requests, %d on a drained server, %d on a starting one (%d by an answer since its start), %d "
        "unresolved\n",
        resolver, counts.all, counts.drained, counts.starting, counts.starting_by_choice, counts.unresolved);
}

void resolvers_that_honour_the_ttl_follow_drains_and_restarts() {
    const RequestCounts counts = Scenario{0s}.run();
    print("honouring the TTL", counts);
    CHECK(counts.all > 150 && counts.drained == 0 && counts.starting_by_choice == 0);
    CHECK(counts.starting <= 10);  // within the one second that an answer given before lives
}

// What no answer can prevent; docs/dns.md has these counts.
void overstaying_resolvers_are_never_named_a_starting_server() {
    const RequestCounts counts = Scenario{30s}.run();
    print("overstaying by 30 s", counts);
    CHECK(counts.starting_by_choice == 0);
    CHECK(counts.drained > 0 && counts.starting > 0);
}

}  // namespace

int main() {
    resolvers_that_honour_the_ttl_follow_drains_and_restarts();
    overstaying_resolvers_are_never_named_a_starting_server();
    std::puts("dns resolvers: drains and restarts are followed as far as answers can do it");
}

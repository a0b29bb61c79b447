// Tests the ACME client against a stand-in authority and the use of the issued certificate for DNS over TLS.
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "acme/client.h"
#include "authority.h"
#include "front/dns/dns_front_end.h"
#include "net/dns_server.h"
#include "net/https_client.h"

using namespace silverrail;
using namespace silverrail::test;
using namespace silverrail::front::dns;

namespace {

// Timers of up to 2 s fire immediately. Longer ones are held for the test to inspect and fire.
struct ManualTimers : core::Timers {
    explicit ManualTimers(asio::io_context& context) : io(context) {}
    Handle at(core::Time when, std::function<void()> action) override {
        const auto span = when - clock.now();
        if (span <= 2s)
            asio::post(io, std::move(action));
        else
            held.push_back({span, std::move(action)});
        return 1;
    }
    void cancel(Handle) override {}
    void fire() {
        auto action = std::move(held.front().second);
        held.erase(held.begin());
        action();
    }
    asio::io_context& io;
    net::SystemClock clock;
    std::vector<std::pair<core::Span, std::function<void()>>> held;
};

struct ZoneChallengeRecords : acme::ChallengeRecords {
    explicit ZoneChallengeRecords(DnsFrontEnd& f) : front_end(f) {}
    void publish(const std::string& name, const std::string& text) override {
        front_end.add_txt_record(*parse_name(name), text);
    }
    void remove(const std::string& name) override {
        front_end.remove_txt_records(*parse_name(name));
    }
    DnsFrontEnd& front_end;
};

// Sends a query over TLS and verifies the server's certificate against the authority's.
std::string ask_over_tls(const tcp::endpoint& to, const std::string& trust, const std::string& query) {
    asio::io_context io;
    asio::ssl::context tls{asio::ssl::context::tls_client};
    tls.add_certificate_authority(asio::buffer(trust));
    tls.set_verify_mode(asio::ssl::verify_peer);
    asio::ssl::stream<tcp::socket> stream{io, tls};
    stream.set_verify_callback(asio::ssl::host_name_verification(kDomain));
    stream.lowest_layer().connect(to);
    stream.handshake(asio::ssl::stream_base::client);
    asio::write(stream, asio::buffer(std::string{'\0', static_cast<char>(query.size())} + query));
    std::array<unsigned char, 2> length{};
    asio::read(stream, asio::buffer(length));
    std::string answer(static_cast<std::size_t>(length[0] << 8 | length[1]), '\0');
    asio::read(stream, asio::buffer(answer));
    return answer;
}

mode_t mode_of(const std::string& path) {
    struct stat s{};
    CHECK(::stat(path.c_str(), &s) == 0);
    return s.st_mode & 0777;
}

struct DnsRouter {
    explicit DnsRouter(asio::io_context& io)
        : parts(io),
          front_end(parts.engine, parts.clock, zone(), parts.log),
          server(
              io, {}, [this](auto q, auto d, auto r) { front_end.handle(q, d, std::move(r)); }, parts.clock,
              parts.log) {
        server.listen_udp({asio::ip::make_address("127.0.0.1"), 0});
        server.listen_tls(loopback());
    }
    static ZoneSettings zone() {
        ZoneSettings z;
        z.name = *parse_name("route.example");
        z.name_server = *parse_name(kDomain);
        z.name_server_address = "127.0.0.53";
        z.mailbox = *parse_name("hostmaster.example");
        return z;
    }
    Router parts;
    DnsFrontEnd front_end;
    net::DnsServer server;
};

// A temporary folder with the CA certificate that the client trusts.
class TestFolder {
public:
    explicit TestFolder(const Authority& authority) {
        std::filesystem::create_directory(path_);
        trust(authority);
    }
    ~TestFolder() {
        std::filesystem::remove_all(path_);
    }
    void trust(const Authority& authority) const {
        std::ofstream{trusted_file()} << authority.ca_pem();
    }
    std::string trusted_file() const {
        return file("trust.pem");
    }
    std::string path() const {
        return path_.string();
    }
    std::string file(const char* name) const {
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_ =
        std::filesystem::temp_directory_path() / ("silverrail-" + std::to_string(::getpid()));
};

// An ACME client, its authority and the folder of its files.
struct OrderFixture {
    acme::Client make_client() {
        return {
            {authority.directory_url(), "mailto:oncall@example.com", kDomain},
            {acme::CredentialStore{folder.path()}, https, records, timers, timers.clock, router.parts.log, 3},
            [this](const acme::IssuedCertificate& certificate) {
                issued.push_back(certificate);
                router.server.use_certificate(net::server_tls_context(certificate));
            }};
    }
    // Runs the blocking `action` on another thread while the router serves.
    template <class Action>
    auto run_beside(Action action) {
        auto result = std::async(std::launch::async, std::move(action));
        run_until(io, [&] { return result.wait_for(0s) == std::future_status::ready; });
        return result.get();
    }

    asio::io_context io;
    DnsRouter router{io};
    Authority authority{router.server.udp_local()};
    TestFolder folder{authority};
    ManualTimers timers{io};
    ZoneChallengeRecords records{router.front_end};
    net::HttpsClient https{io, folder.trusted_file()};
    std::vector<acme::IssuedCertificate> issued;
};

// After the first order fails, the next one waits for the authority's Retry-After, which is longer than the
// backoff.
void failed_order_is_retried_after_retry_after(OrderFixture& f, acme::Client& client) {
    f.authority.orders_to_fail = 1;
    f.authority.good_nonces_to_reject = 2;
    client.start();
    run_until(f.io, [&] { return !f.timers.held.empty(); });
    CHECK(f.issued.empty() && f.timers.held[0].first > 6900ms && f.timers.held[0].first <= 7s);
    CHECK(f.authority.good_nonces_to_reject == 0 && f.authority.rejected == 0);
    f.timers.fire();
    run_until(f.io, [&] { return f.issued.size() == 1; });
    CHECK(f.authority.issued == 1 && f.authority.rejected == 0 && f.authority.missing_records == 0);
    CHECK(f.authority.accounts == 1);
    CHECK(mode_of(f.folder.file("account.key")) == 0600);
    CHECK(mode_of(f.folder.file("certificate.key")) == 0600);
}

void challenge_record_is_removed_after_use(OrderFixture& f) {
    const auto records =
        f.run_beside([&] { return txt_records_at(kChallengeName, f.router.server.udp_local()); });
    CHECK(records.empty());
}

// DNS over TLS with a certificate chain that a resolver can verify.
void certificate_serves_dns_over_tls(OrderFixture& f) {
    const std::string query =
        "\x12\x34\1\0\0\1\0\0\0\0\0\0"s + encode_name(*parse_name(kDomain)) + "\0\1\0\1"s;
    const std::string answer =
        f.run_beside([&] { return ask_over_tls(f.router.server.tls_local(), f.authority.ca_pem(), query); });
    CHECK(answer.size() > 16 && answer.substr(answer.size() - 4) == "\x7f\0\0\x35"s);
}

// The renewal is due after two thirds of 90 days, and uses a new key and the same account.
void renewal_has_a_new_key_and_the_same_account(OrderFixture& f) {
    CHECK(f.timers.held.size() == 1);
    CHECK(f.timers.held[0].first > 60 * 24h - 1min && f.timers.held[0].first < 60 * 24h + 1min);
    f.timers.fire();
    run_until(f.io, [&] { return f.issued.size() == 2; });
    CHECK(f.issued[0].key_pem != f.issued[1].key_pem && f.issued[0].chain_pem != f.issued[1].chain_pem);
    CHECK(f.authority.accounts == 1 && f.authority.rejected == 0);
}

void restart_uses_the_stored_certificate(OrderFixture& f) {
    auto restarted = f.make_client();
    restarted.start();
    CHECK(f.issued.size() == 3 && f.issued[2].chain_pem == f.issued[1].chain_pem);
    CHECK(f.authority.issued == 2);
}

void certificate_is_ordered_and_renewed() {
    OrderFixture fixture;
    auto client = fixture.make_client();
    failed_order_is_retried_after_retry_after(fixture, client);
    challenge_record_is_removed_after_use(fixture);
    certificate_serves_dns_over_tls(fixture);
    renewal_has_a_new_key_and_the_same_account(fixture);
    restart_uses_the_stored_certificate(fixture);
}

struct DiscardedChallengeRecords : acme::ChallengeRecords {
    void publish(const std::string&, const std::string&) override {}
    void remove(const std::string&) override {}
};

// Without the challenge record the authority issues no certificate, and the client backs off. This also shows
// that the stand-in authority's checks are effective.
void failed_challenge_yields_no_certificate() {
    OrderFixture f;
    DiscardedChallengeRecords nothing;
    acme::Client client{
        {f.authority.directory_url(), "", kDomain},
        {acme::CredentialStore{""}, f.https, nothing, f.timers, f.timers.clock, f.router.parts.log, 3},
        [](const acme::IssuedCertificate&) {
            CHECK(!"issued without a challenge record");
        }};
    client.start();
    core::Span last{};
    for (int tries = 1; tries <= 3; ++tries) {
        run_until(f.io, [&] { return !f.timers.held.empty(); });
        CHECK(f.authority.missing_records == tries && f.authority.issued == 0);
        CHECK(f.timers.held[0].first > last * 3 / 2 &&
              f.timers.held[0].first >= 4900ms);  // increasing delays
        last = f.timers.held[0].first;
        // No order may be in progress when the authority is destroyed: its thread would block on a response
        // from this test's DNS server.
        if (tries < 3)
            f.timers.fire();
    }
}

void untrusted_authority_is_rejected() {
    OrderFixture f;
    f.folder.trust(Authority{f.router.server.udp_local()});
    net::HttpsClient client{f.io, f.folder.trusted_file()};
    acme::HttpResponse result;
    bool done = false;
    client.send({"GET", f.authority.directory_url(), ""}, [&](acme::HttpResponse response) {
        result = std::move(response);
        done = true;
    });
    run_until(f.io, [&] { return done; });
    CHECK(result.status == 0 && !result.error.empty());
}

// An authority whose response never ends in a chunk's extension was kept in memory without a limit.
void endless_chunk_extension_is_an_error() {
    OrderFixture f;
    f.authority.endless_chunk_extension = true;
    acme::HttpResponse result;
    bool done = false;
    f.https.send({"GET", f.authority.directory_url(), ""}, [&](acme::HttpResponse response) {
        result = std::move(response);
        done = true;
    });
    run_until(f.io, [&] { return done; });
    CHECK(result.status == 0 && !result.error.empty());
    CHECK(f.authority.extension_bytes < Authority::kMaxExtensionBytes);
}

}  // namespace

int main() {
    certificate_is_ordered_and_renewed();
    failed_challenge_yields_no_certificate();
    untrusted_authority_is_rejected();
    endless_chunk_extension_is_an_error();
    std::puts("acme: certificates are ordered, renewed and reused after a restart");
}

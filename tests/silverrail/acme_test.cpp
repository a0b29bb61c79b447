// The ACME client against a stand-in authority on loopback, written from RFC 8555, that checks each
// signature, nonce and URL, and asks the DNS front for the proof before it signs anything. The certificate
// then serves DNS over TLS.
#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/param_build.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <set>
#include <thread>

#include "config/config.h"
#include "front/dns/front.h"
#include "net/dns_server.h"
#include "net/https_client.h"
#include "test_fixture.h"

using namespace silverrail;
using namespace silverrail::test;
using namespace silverrail::front::dns;
using namespace std::string_literals;
namespace asio = net::asio;
namespace http = net::http;

namespace {

const std::string kName = "ns1.route.example";

using Request509 = std::unique_ptr<X509_REQ, acme::Freed<X509_REQ_free>>;

std::string pem_of(X509* certificate) {
    BIO* bio = BIO_new(BIO_s_mem());
    CHECK(PEM_write_bio_X509(bio, certificate) == 1);
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio, &data);
    std::string out{data, static_cast<std::size_t>(size)};
    BIO_free(bio);
    return out;
}

acme::Certificate make_certificate(EVP_PKEY* subject, const std::string& names, X509* issuer, EVP_PKEY* by,
                                   long seconds, bool authority) {
    static int serial = 0;
    acme::Certificate c{X509_new()};
    X509_set_version(c.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(c.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(c.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(c.get()), seconds);
    X509_set_pubkey(c.get(), subject);
    const auto common = "stand-in "s + (authority ? "authority" : std::to_string(serial));
    X509_NAME_add_entry_by_txt(X509_get_subject_name(c.get()), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(common.c_str()), -1, -1, 0);
    X509_set_issuer_name(c.get(), X509_get_subject_name(issuer ? issuer : c.get()));
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer ? issuer : c.get(), c.get(), nullptr, nullptr, 0);
    const auto extend = [&](int id, const std::string& value) {
        X509_EXTENSION* e = X509V3_EXT_conf_nid(nullptr, &context, id, value.c_str());
        CHECK(e != nullptr);
        X509_add_ext(c.get(), e, -1);
        X509_EXTENSION_free(e);
    };
    extend(NID_basic_constraints, authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!names.empty())
        extend(NID_subject_alt_name, names);
    CHECK(X509_sign(c.get(), by, EVP_sha256()) > 0);
    return c;
}

// The TXT records of a name, asked of a DNS server.
std::set<std::string> texts_at(const std::string& name, const asio::ip::udp::endpoint& server) {
    asio::io_context io;
    asio::ip::udp::socket socket{io, {asio::ip::udp::v4(), 0}};
    socket.send_to(
        asio::buffer("\x12\x34\1\0\0\1\0\0\0\0\0\0"s + wire_name(*parse_name(name)) + "\0\x10\0\1"s), server);
    std::array<unsigned char, 1500> b{};
    const std::size_t size = socket.receive(asio::buffer(b));
    std::set<std::string> out;
    std::size_t at = 12;
    while (b.at(at) != 0)
        at += b[at] + 1u;
    at += 5;
    for (int i = 0; i < b[7]; ++i) {
        const std::size_t length = b.at(at + 12);
        CHECK(at + 13 + length <= size);
        out.emplace(reinterpret_cast<const char*>(&b[at + 13]), length);
        at += 12 + static_cast<std::size_t>(b[at + 10] << 8 | b[at + 11]);
    }
    return out;
}

// Serves one request after another on a thread of its own.
class Authority {
public:
    explicit Authority(asio::ip::udp::endpoint dns) : dns_(std::move(dns)), acceptor_(io_, loopback()) {
        ca_key_ = acme::new_key();
        ca_ = make_certificate(ca_key_.get(), "", nullptr, ca_key_.get(), 86400, true);
        const auto own = acme::new_key();
        const auto certificate =
            make_certificate(own.get(), "IP:127.0.0.1", ca_.get(), ca_key_.get(), 86400, false);
        tls_.use_certificate_chain(asio::buffer(pem_of(certificate.get())));
        tls_.use_private_key(asio::buffer(acme::key_pem(own)), asio::ssl::context::pem);
        base_ = "https://" + text_of(acceptor_.local_endpoint());
        thread_ = std::thread{[this] {
            serve();
        }};
    }
    ~Authority() {
        over_ = true;
        asio::io_context io;
        tcp::socket{io}.connect(acceptor_.local_endpoint());
        thread_.join();
    }
    std::string directory() const {
        return base_ + "/directory";
    }
    std::string ca_pem() const {
        return pem_of(ca_.get());
    }

    std::atomic<int> spoil_nonces{0};  // so many good nonces are called bad
    std::atomic<int> fail_orders{0};   // so many orders end in 503 with Retry-After: 7
    std::atomic<int> rejected{0};      // by its own checks
    std::atomic<int> proofs_missing{0};
    std::atomic<int> issued{0};
    std::atomic<int> accounts{0};

private:
    struct Reply {
        unsigned status = 200;
        std::string body;
        std::string location;
        std::string retry_after;
    };
    struct Order {
        std::string status = "pending";
        std::string authorization = "pending";
        std::string token;
        std::string thumbprint;
        int polls = 0;
        std::string certificate;
    };

    void serve() {
        while (!over_) {
            try {
                asio::ssl::stream<tcp::socket> stream{io_, tls_};
                acceptor_.accept(stream.lowest_layer());
                if (over_)
                    return;
                stream.handshake(asio::ssl::stream_base::server);
                net::beast::flat_buffer buffer;
                Request request;
                http::read(stream, buffer, request);
                const Reply reply = handle(request);
                test::Response r{http::int_to_status(reply.status), 11};
                r.set("Replay-Nonce", fresh_nonce());
                if (!reply.location.empty())
                    r.set("Location", reply.location);
                if (!reply.retry_after.empty())
                    r.set("Retry-After", reply.retry_after);
                r.body() = reply.body;
                r.prepare_payload();
                if (request.method() == http::verb::head)
                    r.body().clear();
                r.keep_alive(false);
                http::write(stream, r);
            } catch (const boost::system::system_error&) {}
        }
    }
    std::string fresh_nonce() {
        const std::string nonce = acme::base64url("nonce " + std::to_string(++nonces_made_));
        nonces_.insert(nonce);
        return nonce;
    }
    Reply problem(unsigned status, const std::string& type) {
        ++rejected;
        return {status, R"({"type":"urn:ietf:params:acme:error:)" + type + R"("})", {}, {}};
    }
    static std::string text(const Json::Value& v) {
        return v.isString() ? v.asString() : "";
    }

    // The public key of a JWK.
    static acme::Key public_key(const Json::Value& jwk) {
        const auto x = acme::from_base64url(text(jwk["x"]));
        const auto y = acme::from_base64url(text(jwk["y"]));
        if (!x || !y || x->size() != 32 || y->size() != 32 || text(jwk["crv"]) != "P-256")
            return nullptr;
        const std::string point = "\x04"s + *x + *y;
        OSSL_PARAM parameters[] = {
            OSSL_PARAM_construct_utf8_string(OSSL_PKEY_PARAM_GROUP_NAME, const_cast<char*>("P-256"), 0),
            OSSL_PARAM_construct_octet_string(OSSL_PKEY_PARAM_PUB_KEY, const_cast<char*>(point.data()),
                                              point.size()),
            OSSL_PARAM_construct_end()};
        EVP_PKEY_CTX* context = EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr);
        EVP_PKEY* key = nullptr;
        EVP_PKEY_fromdata_init(context);
        EVP_PKEY_fromdata(context, &key, EVP_PKEY_PUBLIC_KEY, parameters);
        EVP_PKEY_CTX_free(context);
        return acme::Key{key};
    }
    static bool verified(const acme::Key& key, const std::string& bytes, const std::string& raw) {
        if (!key || raw.size() != 64)
            return false;
        const auto* p = reinterpret_cast<const unsigned char*>(raw.data());
        ECDSA_SIG* pair = ECDSA_SIG_new();
        ECDSA_SIG_set0(pair, BN_bin2bn(p, 32, nullptr), BN_bin2bn(p + 32, 32, nullptr));
        unsigned char* der = nullptr;
        const int size = i2d_ECDSA_SIG(pair, &der);
        EVP_MD_CTX* digest = EVP_MD_CTX_new();
        const bool good =
            EVP_DigestVerifyInit(digest, nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
            EVP_DigestVerify(digest, der, static_cast<std::size_t>(size),
                             reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()) == 1;
        EVP_MD_CTX_free(digest);
        OPENSSL_free(der);
        ECDSA_SIG_free(pair);
        return good;
    }

    Reply handle(const Request& request) {
        const std::string target{request.target().data(), request.target().size()};
        if (target == "/directory")
            return {200,
                    R"({"newNonce":")" + base_ + R"(/nonce","newAccount":")" + base_ +
                        R"(/account","newOrder":")" + base_ + R"(/order"})",
                    {},
                    {}};
        if (target == "/nonce")
            return {200, "", {}, {}};
        if (request.method() != http::verb::post || request["Content-Type"] != "application/jose+json")
            return problem(400, "malformed");
        const auto jws = config::parse_json(request.body());
        if (!jws)
            return problem(400, "malformed");
        const std::string head = text((*jws)["protected"]);
        const std::string body = text((*jws)["payload"]);
        const auto signature = acme::from_base64url(text((*jws)["signature"]));
        const auto header_text = acme::from_base64url(head);
        const auto payload = acme::from_base64url(body);
        const auto header = header_text ? config::parse_json(*header_text) : std::nullopt;
        if (!header || !payload || !signature || text((*header)["alg"]) != "ES256" ||
            text((*header)["url"]) != base_ + target)
            return problem(400, "malformed");
        if (nonces_.erase(text((*header)["nonce"])) != 1)
            return problem(400, "badNonce");
        if (spoil_nonces > 0) {
            --spoil_nonces;
            --rejected;
            return problem(400, "badNonce");
        }
        const bool is_new = target == "/account";
        const Json::Value& jwk = is_new ? (*header)["jwk"] : accounts_[text((*header)["kid"])];
        if (!jwk.isObject() || !verified(public_key(jwk), head + "." + body, *signature))
            return problem(403, "unauthorized");
        return act(target, *payload, jwk);
    }
    Reply act(const std::string& target, const std::string& payload, const Json::Value& jwk) {
        const auto json = config::parse_json(payload);
        const std::string thumb = acme::base64url(acme::sha256(
            R"({"crv":"P-256","kty":"EC","x":")" + text(jwk["x"]) + R"(","y":")" + text(jwk["y"]) + R"("})"));
        if (target == "/account") {
            if (!json || !(*json)["termsOfServiceAgreed"].asBool())
                return problem(400, "malformed");
            const std::string url = base_ + "/account/" + thumb;
            const bool known = accounts_.contains(url);
            if (!known)
                ++accounts;
            accounts_[url] = jwk;
            return {known ? 200u : 201u, "{}", url, {}};
        }
        if (target == "/order") {
            if (fail_orders > 0) {
                --fail_orders;
                return {503, "{}", {}, "7"};
            }
            if (!json || text((*json)["identifiers"][0]["value"]) != kName)
                return problem(400, "malformed");
            orders_.push_back({});
            orders_.back().token = acme::base64url("token " + std::to_string(orders_.size()));
            orders_.back().thumbprint = thumb;
            const std::string at = base_ + "/" + std::to_string(orders_.size() - 1);
            return {201, order_json(at, orders_.back()), at + "/order", {}};
        }
        const std::size_t index = static_cast<std::size_t>(std::atoi(target.c_str() + 1));
        if (index >= orders_.size())
            return problem(404, "malformed");
        Order& order = orders_[index];
        const std::string at = base_ + "/" + std::to_string(index);
        if (order.thumbprint != thumb)
            return problem(403, "unauthorized");
        if (target.ends_with("/authorization")) {
            if (!payload.empty())
                return problem(400, "malformed");  // POST-as-GET
            if (order.authorization == "processing" && ++order.polls > 2)
                order.authorization = "valid";
            const std::string status = order.authorization == "processing" ? "pending" : order.authorization;
            return {
                200,
                R"({"status":")" + status + R"(","identifier":{"type":"dns","value":")" + kName +
                    R"("},"challenges":[{"type":"http-01","url":"x","token":"y"},{"type":"dns-01","url":")" +
                    at + R"(/challenge","token":")" + order.token + R"("}]})",
                {},
                {}};
        }
        if (target.ends_with("/challenge")) {
            const std::string proof = acme::base64url(acme::sha256(order.token + "." + thumb));
            const bool shown = texts_at("_acme-challenge." + kName, dns_).contains(proof);
            if (!shown)
                ++proofs_missing;
            order.authorization = shown ? "processing" : "invalid";
            return {200, "{}", {}, {}};
        }
        if (target.ends_with("/finalize")) {
            const auto csr = json ? acme::from_base64url(text((*json)["csr"])) : std::nullopt;
            if (order.authorization != "valid" || !csr)
                return problem(403, "orderNotReady");
            const auto* p = reinterpret_cast<const unsigned char*>(csr->data());
            const Request509 signing{d2i_X509_REQ(nullptr, &p, static_cast<long>(csr->size()))};
            EVP_PKEY* key = signing ? X509_REQ_get0_pubkey(signing.get()) : nullptr;
            if (!key || X509_REQ_verify(signing.get(), key) != 1)
                return problem(400, "badCSR");
            order.certificate = pem_of(
                make_certificate(key, "DNS:" + kName, ca_.get(), ca_key_.get(), 90 * 86400, false).get());
            order.status = "processing";
            order.polls = 0;
            ++issued;
        } else if (target.ends_with("/certificate")) {
            return {200, order.certificate + ca_pem(), {}, {}};
        } else if (order.status == "processing" && ++order.polls > 1) {
            order.status = "valid";
        }
        return {200, order_json(at, order), {}, {}};
    }
    static std::string order_json(const std::string& at, const Order& order) {
        return R"({"status":")" + order.status + R"(","authorizations":[")" + at +
               R"(/authorization"],"finalize":")" + at + R"(/finalize","certificate":")" + at +
               R"(/certificate"})";
    }

    asio::io_context io_;
    asio::ssl::context tls_{asio::ssl::context::tls_server};
    asio::ip::udp::endpoint dns_;
    tcp::acceptor acceptor_;
    acme::Key ca_key_;
    acme::Certificate ca_;
    std::string base_;
    std::set<std::string> nonces_;
    int nonces_made_ = 0;
    std::map<std::string, Json::Value> accounts_;
    std::vector<Order> orders_;
    std::atomic<bool> over_{false};
    std::thread thread_;
};

// Short waits pass at once; long ones are kept for the test to look at and to end.
struct HandTimers : core::Timers {
    explicit HandTimers(asio::io_context& context) : io(context) {}
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

struct FrontProofs : acme::Proofs {
    explicit FrontProofs(Front& f) : front(f) {}
    void show(const std::string& name, const std::string& text) override {
        front.set_text(*parse_name(name), text);
    }
    void clear(const std::string& name) override {
        front.clear_texts(*parse_name(name));
    }
    Front& front;
};

// Asks the server over TLS, its certificate checked against the authority's.
std::string ask_over_tls(const tcp::endpoint& to, const std::string& trust, const std::string& query) {
    asio::io_context io;
    asio::ssl::context tls{asio::ssl::context::tls_client};
    tls.add_certificate_authority(asio::buffer(trust));
    tls.set_verify_mode(asio::ssl::verify_peer);
    asio::ssl::stream<tcp::socket> stream{io, tls};
    stream.set_verify_callback(asio::ssl::host_name_verification(kName));
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

struct Bench {
    explicit Bench(asio::io_context& io)
        : router(io),
          front(router.engine, router.clock, zone(), router.log),
          server(
              io, {}, [this](auto q, auto d, auto r) { front.handle(q, d, std::move(r)); }, router.clock,
              router.log) {
        server.listen_udp({asio::ip::make_address("127.0.0.1"), 0});
        server.listen_tls(loopback());
    }
    static ZoneSettings zone() {
        ZoneSettings z;
        z.zone = *parse_name("route.example");
        z.server = *parse_name(kName);
        z.server_address = "127.0.0.53";
        z.mailbox = *parse_name("hostmaster.example");
        return z;
    }
    Router router;
    Front front;
    net::DnsServer server;
};

void certificate_is_ordered_and_renewed() {
    asio::io_context io;
    Bench bench{io};
    Authority authority{bench.server.udp_local()};
    const auto folder = std::filesystem::temp_directory_path() / ("silverrail-" + std::to_string(::getpid()));
    std::filesystem::create_directory(folder);
    const std::string trust = (folder / "trust.pem").string();
    std::ofstream{trust} << authority.ca_pem();

    HandTimers timers{io};
    FrontProofs proofs{bench.front};
    net::HttpsClient https{io, trust};
    std::vector<acme::Issued> got;
    const auto make = [&] {
        return acme::Client{{authority.directory(), "mailto:oncall@example.com", kName},
                            acme::Store{folder.string()},
                            https,
                            proofs,
                            timers,
                            timers.clock,
                            3,
                            [&](const acme::Issued& i) {
                                got.push_back(i);
                                bench.server.use_certificate(net::tls_context(i));
                            },
                            bench.router.log};
    };
    auto client = make();

    // The first order fails: the next try is held until the authority's Retry-After, which is the longer.
    authority.fail_orders = 1;
    authority.spoil_nonces = 2;
    client.start();
    run_until(io, [&] { return !timers.held.empty(); });
    CHECK(got.empty() && timers.held[0].first > 6900ms && timers.held[0].first <= 7s);
    CHECK(authority.spoil_nonces == 0 && authority.rejected == 0);
    timers.fire();
    run_until(io, [&] { return got.size() == 1; });
    CHECK(authority.issued == 1 && authority.rejected == 0 && authority.proofs_missing == 0);
    CHECK(authority.accounts == 1);
    CHECK(mode_of((folder / "account.key").string()) == 0600);
    CHECK(mode_of((folder / "certificate.key").string()) == 0600);
    // The proof is gone once it has served.
    auto gone = std::async(std::launch::async,
                           [&] { return texts_at("_acme-challenge." + kName, bench.server.udp_local()); });
    run_until(io, [&] { return gone.wait_for(0s) == std::future_status::ready; });
    CHECK(gone.get().empty());

    // DNS over TLS, with a chain that a resolver can check.
    auto asked = std::async(std::launch::async, [&] {
        return ask_over_tls(bench.server.tls_local(), authority.ca_pem(),
                            "\x12\x34\1\0\0\1\0\0\0\0\0\0"s + wire_name(*parse_name(kName)) + "\0\1\0\1"s);
    });
    run_until(io, [&] { return asked.wait_for(0s) == std::future_status::ready; });
    const std::string answer = asked.get();
    CHECK(answer.size() > 16 && answer.substr(answer.size() - 4) == "\x7f\0\0\x35"s);

    // Renewal is due after two thirds of 90 days, with a new key and the same account.
    CHECK(timers.held.size() == 1);
    CHECK(timers.held[0].first > 60 * 24h - 1min && timers.held[0].first < 60 * 24h + 1min);
    timers.fire();
    run_until(io, [&] { return got.size() == 2; });
    CHECK(got[0].key_pem != got[1].key_pem && got[0].chain_pem != got[1].chain_pem);
    CHECK(authority.accounts == 1 && authority.rejected == 0);

    // A restart takes the kept certificate and orders nothing.
    auto again = make();
    again.start();
    CHECK(got.size() == 3 && got[2].chain_pem == got[1].chain_pem);
    CHECK(authority.issued == 2);
    std::filesystem::remove_all(folder);
}

// The checks of the authority bite: without the proof there is no certificate, and the client backs off.
void failed_challenge_yields_no_certificate() {
    asio::io_context io;
    Bench bench{io};
    Authority authority{bench.server.udp_local()};
    const auto trust =
        std::filesystem::temp_directory_path() / ("silverrail-ca-" + std::to_string(::getpid()));
    std::ofstream{trust} << authority.ca_pem();
    HandTimers timers{io};
    struct : acme::Proofs {
        void show(const std::string&, const std::string&) override {}
        void clear(const std::string&) override {}
    } nothing;
    net::HttpsClient https{io, trust.string()};
    acme::Client client{{authority.directory(), "", kName},
                        acme::Store{""},
                        https,
                        nothing,
                        timers,
                        timers.clock,
                        3,
                        [](const acme::Issued&) { CHECK(!"issued without a proof"); },
                        bench.router.log};
    client.start();
    core::Span last{};
    for (int tries = 1; tries <= 3; ++tries) {
        run_until(io, [&] { return !timers.held.empty(); });
        CHECK(authority.proofs_missing == tries && authority.issued == 0);
        CHECK(timers.held[0].first > last * 3 / 2 && timers.held[0].first >= 4900ms);  // longer each time
        last = timers.held[0].first;
        // No order may be under way when the authority ends: its thread would wait for our DNS front.
        if (tries < 3)
            timers.fire();
    }
    // An authority that is not trusted is not talked to.
    std::ofstream{trust} << Authority{bench.server.udp_local()}.ca_pem();
    net::HttpsClient stranger{io, trust.string()};
    acme::HttpResult result;
    bool done = false;
    stranger.call({"GET", authority.directory(), ""},
                  [&](acme::HttpResult r) { result = std::move(r), done = true; });
    run_until(io, [&] { return done; });
    CHECK(result.status == 0 && !result.error.empty());
    std::filesystem::remove(trust);
}

void base64url_round_trips() {
    struct Case {
        std::string bytes;
        const char* text;
    };
    for (const Case& c : {Case{"", ""}, Case{"f", "Zg"}, Case{"fo", "Zm8"}, Case{"foo", "Zm9v"},
                          Case{"\xff\xfe\xfd", "__79"}}) {
        CHECK(acme::base64url(c.bytes) == c.text);
        CHECK(acme::from_base64url(c.text) == c.bytes);
    }
    for (const char* bad : {"Z", "Zh", "Zg==", "Z+8a", "Zm9vY"})
        CHECK(!acme::from_base64url(bad));
    for (const char* bad :
         {"http://ca.example/", "https://", "https://a b/", "https://u@ca.example/", "ftp:x"})
        CHECK(!net::parse_https(bad));
    const auto url = net::parse_https("https://ca.example:14000/dir?x=1");
    CHECK(url->host == "ca.example" && url->port == "14000" && url->target == "/dir?x=1");
    CHECK(net::parse_https("https://ca.example")->target == "/");
}

}  // namespace

int main() {
    base64url_round_trips();
    certificate_is_ordered_and_renewed();
    failed_challenge_yields_no_certificate();
    std::puts("acme: every case holds");
}

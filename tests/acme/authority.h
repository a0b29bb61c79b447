// A stand-in ACME certificate authority (RFC 8555) on loopback. It verifies each signature, nonce and URL,
// and queries a DNS server for the challenge record before it issues a certificate.
#pragma once

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "../silverrail/test_fixture.h"
#include "certificates.h"
#include "config/json_text.h"
#include "front/dns/name.h"
#include "net/tls.h"
#include "signatures.h"

namespace silverrail::test {

namespace asio = net::asio;
namespace http = net::http;
using namespace std::string_literals;

// The only name for which the authority issues certificates.
inline const std::string kDomain = "ns1.route.example";
inline const std::string kChallengeName = "_acme-challenge." + kDomain;

// Queries a DNS server for the TXT records of a name.
inline std::set<std::string> txt_records_at(const std::string& name, const asio::ip::udp::endpoint& server) {
    asio::io_context io;
    asio::ip::udp::socket socket{io, {asio::ip::udp::v4(), 0}};
    const std::string encoded_name = front::dns::encode_name(*front::dns::parse_name(name));
    socket.send_to(asio::buffer("\x12\x34\1\0\0\1\0\0\0\0\0\0"s + encoded_name + "\0\x10\0\1"s), server);
    std::array<unsigned char, 1500> message{};
    const std::size_t size = socket.receive(asio::buffer(message));
    std::set<std::string> out;
    std::size_t at = 12;
    while (message.at(at) != 0)
        at += message[at] + 1u;
    at += 5;
    for (int i = 0; i < message[7]; ++i) {
        const std::size_t length = message.at(at + 12);
        CHECK(at + 13 + length <= size);
        out.emplace(reinterpret_cast<const char*>(&message[at + 13]), length);
        at += 12 + static_cast<std::size_t>(message[at + 10] << 8 | message[at + 11]);
    }
    return out;
}

// Serves one request at a time on its own thread.
class Authority {
public:
    explicit Authority(asio::ip::udp::endpoint dns) : dns_(std::move(dns)), acceptor_(io_, loopback()) {
        ca_key_ = acme::generate_key();
        ca_ = make_certificate(
            {.key = ca_key_.get(), .issuer_key = ca_key_.get(), .valid_for_s = 86400, .authority = true});
        const auto own_key = acme::generate_key();
        const auto own = sign({.key = own_key.get(), .names = "IP:127.0.0.1", .valid_for_s = 86400});
        tls_.use_certificate_chain(asio::buffer(pem_of(own.get())));
        tls_.use_private_key(asio::buffer(acme::key_to_pem(own_key)), asio::ssl::context::pem);
        base_ = "https://" + text_of(acceptor_.local_endpoint());
        thread_ = std::thread{[this] {
            serve();
        }};
    }
    ~Authority() {
        stopped_ = true;
        asio::io_context io;
        tcp::socket{io}.connect(acceptor_.local_endpoint());
        thread_.join();
    }
    std::string directory_url() const {
        return base_ + "/directory";
    }
    std::string ca_pem() const {
        return pem_of(ca_.get());
    }

    std::atomic<int> good_nonces_to_reject{0};
    std::atomic<int> orders_to_fail{0};  // with 503 and Retry-After: 7
    // More than the buffers of both sockets hold, so a client that gets all of it has kept it.
    static constexpr std::size_t kMaxExtensionBytes = 64UL << 20;
    std::atomic<bool> endless_chunk_extension{false};  // in place of any response
    std::atomic<std::size_t> extension_bytes{0};       // of these, sent before the client closed
    std::atomic<int> rejected{0};                      // requests that failed the authority's checks
    std::atomic<int> missing_records{0};
    std::atomic<int> issued{0};
    std::atomic<int> accounts{0};

private:
    struct Reply {
        unsigned status = 200;
        std::string body{};
        std::string location{};
        std::string retry_after{};
    };
    struct Order {
        std::string url;
        std::string token;
        std::string thumbprint;
        std::string status = "pending";
        std::string authorization = "pending";
        int polls = 0;
        std::string certificate;
    };
    struct SignedRequest {
        std::string target;
        std::string payload;
        Json::Value public_key;
        std::string thumbprint;
    };

    acme::Certificate sign(CertificateRequest request) {
        request.issuer = ca_.get();
        request.issuer_key = ca_key_.get();
        return make_certificate(request);
    }

    void serve() {
        while (!stopped_) {
            try {
                asio::ssl::stream<tcp::socket> stream{io_, tls_};
                acceptor_.accept(stream.lowest_layer());
                if (stopped_)
                    return;
                stream.handshake(asio::ssl::stream_base::server);
                serve_request(stream);
            } catch (const boost::system::system_error&) {}
        }
    }
    // Ends with an exception once the client closes.
    void send_endless_chunk_extension(asio::ssl::stream<tcp::socket>& stream) {
        const std::string block(16UL * 1024, 'x');
        asio::write(stream, asio::buffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;note="s));
        while (extension_bytes < kMaxExtensionBytes)
            extension_bytes += asio::write(stream, asio::buffer(block));
    }
    void serve_request(asio::ssl::stream<tcp::socket>& stream) {
        net::beast::flat_buffer buffer;
        Request request;
        http::read(stream, buffer, request);
        if (endless_chunk_extension)
            return send_endless_chunk_extension(stream);
        const Reply reply = handle(request);
        test::Response response{http::int_to_status(reply.status), 11};
        response.set("Replay-Nonce", fresh_nonce());
        if (!reply.location.empty())
            response.set("Location", reply.location);
        if (!reply.retry_after.empty())
            response.set("Retry-After", reply.retry_after);
        response.body() = reply.body;
        response.prepare_payload();
        if (request.method() == http::verb::head)
            response.body().clear();
        response.keep_alive(false);
        http::write(stream, response);
    }
    std::string fresh_nonce() {
        const std::string nonce = acme::encode_base64url("nonce " + std::to_string(++nonces_made_));
        nonces_.insert(nonce);
        return nonce;
    }
    Reply problem(unsigned status, const std::string& type) {
        ++rejected;
        return {status, R"({"type":"urn:ietf:params:acme:error:)" + type + R"("})"};
    }

    Reply handle(const Request& request) {
        const std::string target{net::to_string_view(request.target())};
        if (target == "/directory")
            return {200, R"({"newNonce":")" + base_ + R"(/nonce","newAccount":")" + base_ +
                             R"(/account","newOrder":")" + base_ + R"(/order"})"};
        if (target == "/nonce")
            return {200};
        if (request.method() != http::verb::post || request["Content-Type"] != "application/jose+json")
            return problem(400, "malformed");
        return handle_jws(target, request.body());
    }
    Reply handle_jws(const std::string& target, const std::string& bytes) {
        const auto jws = config::parse_json(bytes);
        if (!jws)
            return problem(400, "malformed");
        const std::string encoded_header = string_of((*jws)["protected"]);
        const std::string encoded_payload = string_of((*jws)["payload"]);
        const auto signature = acme::decode_base64url(string_of((*jws)["signature"]));
        const auto header_text = acme::decode_base64url(encoded_header);
        const auto payload = acme::decode_base64url(encoded_payload);
        const auto header = header_text ? config::parse_json(*header_text) : std::nullopt;
        if (!header || !payload || !signature || string_of((*header)["alg"]) != "ES256" ||
            string_of((*header)["url"]) != base_ + target)
            return problem(400, "malformed");
        if (nonces_.erase(string_of((*header)["nonce"])) != 1)
            return problem(400, "badNonce");
        if (good_nonces_to_reject > 0) {
            --good_nonces_to_reject;
            --rejected;
            return problem(400, "badNonce");
        }
        const bool is_new = target == "/account";
        const Json::Value& jwk = is_new ? (*header)["jwk"] : accounts_[string_of((*header)["kid"])];
        if (!jwk.isObject() ||
            !is_signed_by(public_key(jwk), encoded_header + "." + encoded_payload, *signature))
            return problem(403, "unauthorized");
        return act({target, *payload, jwk, thumbprint_of(jwk)});
    }
    static std::string thumbprint_of(const Json::Value& jwk) {
        return acme::encode_base64url(acme::sha256(R"({"crv":"P-256","kty":"EC","x":")" +
                                                   string_of(jwk["x"]) + R"(","y":")" + string_of(jwk["y"]) +
                                                   R"("})"));
    }

    Reply act(const SignedRequest& request) {
        if (request.target == "/account")
            return register_account(request);
        if (request.target == "/order")
            return accept_order(request);
        const auto index = static_cast<std::size_t>(std::atoi(request.target.c_str() + 1));
        if (index >= orders_.size())
            return problem(404, "malformed");
        Order& order = orders_[index];
        if (order.thumbprint != request.thumbprint)
            return problem(403, "unauthorized");
        if (request.target.ends_with("/authorization"))
            return show_authorization(request, order);
        if (request.target.ends_with("/challenge"))
            return check_challenge(order);
        if (request.target.ends_with("/finalize"))
            return finalize(request, order);
        if (request.target.ends_with("/certificate"))
            return {200, order.certificate + ca_pem()};
        if (order.status == "processing" && ++order.polls > 1)
            order.status = "valid";
        return {200, order_json(order)};
    }
    Reply register_account(const SignedRequest& request) {
        const auto json = config::parse_json(request.payload);
        if (!json || !(*json)["termsOfServiceAgreed"].asBool())
            return problem(400, "malformed");
        const std::string url = base_ + "/account/" + request.thumbprint;
        const bool known = accounts_.contains(url);
        if (!known)
            ++accounts;
        accounts_[url] = request.public_key;
        return {known ? 200u : 201u, "{}", url};
    }
    Reply accept_order(const SignedRequest& request) {
        if (orders_to_fail > 0) {
            --orders_to_fail;
            return {503, "{}", {}, "7"};
        }
        const auto json = config::parse_json(request.payload);
        if (!json || string_of((*json)["identifiers"][0]["value"]) != kDomain)
            return problem(400, "malformed");
        Order order;
        order.url = base_ + "/" + std::to_string(orders_.size());
        order.token = acme::encode_base64url("token " + std::to_string(orders_.size() + 1));
        order.thumbprint = request.thumbprint;
        orders_.push_back(order);
        return {201, order_json(order), order.url + "/order"};
    }
    Reply show_authorization(const SignedRequest& request, Order& order) {
        if (!request.payload.empty())
            return problem(400, "malformed");  // POST-as-GET
        if (order.authorization == "processing" && ++order.polls > 2)
            order.authorization = "valid";
        const std::string status = order.authorization == "processing" ? "pending" : order.authorization;
        return {200,
                R"({"status":")" + status + R"(","identifier":{"type":"dns","value":")" + kDomain +
                    R"("},"challenges":[{"type":"http-01","url":"x","token":"y"},{"type":"dns-01","url":")" +
                    order.url + R"(/challenge","token":")" + order.token + R"("}]})"};
    }
    Reply check_challenge(Order& order) {
        const std::string proof = acme::encode_base64url(acme::sha256(order.token + "." + order.thumbprint));
        const bool shown = txt_records_at(kChallengeName, dns_).contains(proof);
        if (!shown)
            ++missing_records;
        order.authorization = shown ? "processing" : "invalid";
        return {200, "{}"};
    }
    Reply finalize(const SignedRequest& request, Order& order) {
        using SigningRequest = std::unique_ptr<X509_REQ, acme::OpenSslDeleter<X509_REQ_free>>;
        const auto json = config::parse_json(request.payload);
        const auto csr = json ? acme::decode_base64url(string_of((*json)["csr"])) : std::nullopt;
        if (order.authorization != "valid" || !csr)
            return problem(403, "orderNotReady");
        const auto* der = reinterpret_cast<const unsigned char*>(csr->data());
        const SigningRequest signing{d2i_X509_REQ(nullptr, &der, static_cast<long>(csr->size()))};
        EVP_PKEY* key = signing ? X509_REQ_get0_pubkey(signing.get()) : nullptr;
        if (!key || X509_REQ_verify(signing.get(), key) != 1)
            return problem(400, "badCSR");
        const auto certificate = sign({.key = key, .names = "DNS:" + kDomain, .valid_for_s = 90 * 86400});
        order.certificate = pem_of(certificate.get());
        order.status = "processing";
        order.polls = 0;
        ++issued;
        return {200, order_json(order)};
    }
    static std::string order_json(const Order& order) {
        return R"({"status":")" + order.status + R"(","authorizations":[")" + order.url +
               R"(/authorization"],"finalize":")" + order.url + R"(/finalize","certificate":")" + order.url +
               R"(/certificate"})";
    }

    asio::io_context io_;
    asio::ssl::context tls_{asio::ssl::context::tls_server};
    asio::ip::udp::endpoint dns_;
    tcp::acceptor acceptor_;
    acme::PrivateKey ca_key_;
    acme::Certificate ca_;
    std::string base_;
    std::set<std::string> nonces_;
    int nonces_made_ = 0;
    std::map<std::string, Json::Value> accounts_;
    std::vector<Order> orders_;
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

}  // namespace silverrail::test

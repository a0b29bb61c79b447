// An ACME client (RFC 8555): account, order, DNS-01, finalize, download, renewal. It knows no sockets.
#pragma once

#include <json/json.h>

#include <deque>
#include <functional>
#include <map>
#include <random>

#include "acme/crypto.h"
#include "core/ports.h"
#include "log/log.h"

namespace silverrail::acme {

struct HttpCall {
    std::string method{};
    std::string url{};
    std::string body{};  // of a POST: a JWS
};
struct HttpResult {
    unsigned status = 0;  // 0: none came
    std::string body{};
    std::string location{};
    std::string nonce{};
    std::string retry_after{};
    std::string error{};
};
class Http {
public:
    virtual ~Http() = default;
    virtual void call(HttpCall call, std::function<void(HttpResult)> done) = 0;
};

// Shows and takes away the TXT record of a challenge.
class Proofs {
public:
    virtual ~Proofs() = default;
    virtual void show(const std::string& name, const std::string& text) = 0;
    virtual void clear(const std::string& name) = 0;
};

// Where keys and certificate are kept between starts. An empty folder keeps nothing.
class Store {
public:
    explicit Store(std::string folder) : folder_(std::move(folder)) {}
    std::optional<std::string> load(const std::string& file) const;
    // Whole or not at all, and for the owner only (0600) from its first byte on; throws std::runtime_error.
    void save(const std::string& file, std::string_view bytes) const;

private:
    std::string folder_;
};

struct Issued {
    std::string chain_pem;
    std::string key_pem;
};

struct ClientSettings {
    std::string directory;
    std::string contact;
    std::string name;  // the DNS name of the certificate
};

class Client {
public:
    Client(ClientSettings settings, Store store, Http& http, Proofs& proofs, core::Timers& timers,
           const core::Clock& clock, std::uint64_t seed, std::function<void(const Issued&)> issued, Log& log);
    ~Client();
    // Uses a kept certificate while it is good; orders one when there is none or it is due.
    void start();

private:
    // The steps of one order, in turn.
    enum class Step {
        directory,
        nonce,
        account,
        order,
        authorization,
        challenge,
        validation,
        finalize,
        issue,
        download
    };
    using Then = void (Client::*)(const HttpResult&);
    void begin();
    void get(const std::string& url, Then then);
    void post(Step step, std::string url, std::string payload, Then then, bool with_jwk = false);
    void send_post();
    void on_post(HttpResult result);
    void on_directory(const HttpResult& r);
    void on_nonce(const HttpResult& r);
    void on_account(const HttpResult& r);
    void on_order(const HttpResult& r);
    void next_authorization();
    void on_authorization(const HttpResult& r);
    void on_challenge(const HttpResult& r);
    void on_validation(const HttpResult& r);
    void finalize();
    void on_issue(const HttpResult& r);
    void on_certificate(const HttpResult& r);
    void poll(Step step, const std::string& url, Then then, const HttpResult& r);
    void fail(const std::string& why, core::Span at_least = {});
    void install(Issued issued);
    void after(core::Span span, std::function<void()> action);
    std::optional<Json::Value> object(const HttpResult& r);
    void clear_proofs();
    std::string jws(const std::string& url, const std::string& payload, bool with_jwk);

    ClientSettings settings_;
    Store store_;
    Http& http_;
    Proofs& proofs_;
    core::Timers& timers_;
    const core::Clock& clock_;
    std::mt19937_64 random_;
    std::function<void(const Issued&)> issued_;
    Log& log_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    Key account_key_;
    Key certificate_key_;
    std::string account_url_;  // absent until known in this run
    std::map<std::string, std::string> urls_;
    std::string nonce_;
    Step step_ = Step::directory;
    struct Post {
        std::string url;
        std::string payload;
        Then then = nullptr;
        bool with_jwk = false;
        int bad_nonces = 0;
    } pending_;
    std::string order_url_;
    std::string finalize_url_;
    std::deque<std::string> authorizations_;
    std::string authorization_url_;
    std::vector<std::string> shown_;
    int polls_ = 0;
    int failures_ = 0;
};

}  // namespace silverrail::acme

#include "acme/client.h"

#include <openssl/x509v3.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/json_text.h"

namespace silverrail::acme {

namespace {

using namespace std::chrono_literals;

constexpr int kMostBadNonces = 5;
constexpr int kMostPolls = 60;
constexpr core::Span kFirstPause = 5s;
constexpr core::Span kLongestPause = 1h;
constexpr core::Span kPoll = 1s;

std::string compact(const Json::Value& json) {
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, json);
}

std::string text(const Json::Value& json, const char* key) {
    return json[key].isString() ? json[key].asString() : std::string{};
}

// Retry-After in seconds; its form as a date is taken for a minute.
core::Span retry_after(const HttpResult& r) {
    if (r.retry_after.empty())
        return {};
    unsigned value = 0;
    const char* end = r.retry_after.data() + r.retry_after.size();
    const auto [at, error] = std::from_chars(r.retry_after.data(), end, value);
    return error == std::errc{} && at == end ? std::chrono::seconds{std::min(value, 86'400u)} : 60s;
}

}  // namespace

Client::Client(ClientSettings settings, Store store, Http& http, Proofs& proofs, core::Timers& timers,
               const core::Clock& clock, std::uint64_t seed, std::function<void(const Issued&)> issued,
               Log& log)
    : settings_(std::move(settings)),
      store_(std::move(store)),
      http_(http),
      proofs_(proofs),
      timers_(timers),
      clock_(clock),
      random_(seed),
      issued_(std::move(issued)),
      log_(log) {}

Client::~Client() {
    *alive_ = false;
}

void Client::after(core::Span span, std::function<void()> action) {
    timers_.at(clock_.now() + span, [alive = alive_, action = std::move(action)] {
        if (*alive)
            action();
    });
}

void Client::start() {
    const auto chain = store_.load("certificate.pem");
    const auto key = store_.load("certificate.key");
    if (chain && key)
        try {
            const Certificate kept = first_certificate(*chain);
            if (belongs(kept, key_from_pem(*key)) && not_after(kept) * 1000 > clock_.unix_ms() &&
                X509_check_host(kept.get(), settings_.name.c_str(), 0, 0, nullptr) == 1)
                return install({*chain, *key});
            log_.line("acme", "the kept certificate is of no use any more");
        } catch (const CryptoError& e) {
            log_.line("acme", "kept certificate: %s", e.what());
        }
    begin();
}

void Client::begin() {
    try {
        if (!account_key_) {
            if (const auto kept = store_.load("account.key")) {
                account_key_ = key_from_pem(*kept);
            } else {
                account_key_ = new_key();
                store_.save("account.key", key_pem(account_key_));
            }
        }
    } catch (const std::exception& e) {
        return fail(e.what());
    }
    account_url_.clear();
    get(settings_.directory, &Client::on_directory);
}

void Client::get(const std::string& url, Then then) {
    http_.call({"GET", url, {}}, [this, alive = alive_, then](const HttpResult& r) {
        if (*alive)
            (this->*then)(r);
    });
}

std::optional<Json::Value> Client::object(const HttpResult& r) {
    auto json = config::parse_json(r.body);
    if (!json || !json->isObject())
        return std::nullopt;
    return json;
}

void Client::on_directory(const HttpResult& r) {
    const auto json = object(r);
    if (r.status != 200 || !json)
        return fail("no directory: " + (r.error.empty() ? std::to_string(r.status) : r.error),
                    retry_after(r));
    for (const char* name : {"newNonce", "newAccount", "newOrder"}) {
        urls_[name] = text(*json, name);
        if (urls_[name].empty())
            return fail(std::string{"directory without "} + name);
    }
    Json::Value account{Json::objectValue};
    account["termsOfServiceAgreed"] = true;
    if (!settings_.contact.empty())
        account["contact"].append(settings_.contact);
    post(Step::account, urls_["newAccount"], compact(account), &Client::on_account, true);
}

std::string Client::jws(const std::string& url, const std::string& payload, bool with_jwk) {
    Json::Value header{Json::objectValue};
    header["alg"] = "ES256";
    header["nonce"] = std::exchange(nonce_, {});  // good for one use
    header["url"] = url;
    if (with_jwk)
        header["jwk"] = *config::parse_json(jwk(account_key_));
    else
        header["kid"] = account_url_;
    const std::string head = base64url(compact(header));
    const std::string body = base64url(payload);
    Json::Value out{Json::objectValue};
    out["protected"] = head;
    out["payload"] = body;
    out["signature"] = base64url(sign(account_key_, head + "." + body));
    return compact(out);
}

void Client::post(Step step, std::string url, std::string payload, Then then, bool with_jwk) {
    step_ = step;
    pending_ = {std::move(url), std::move(payload), then, with_jwk, 0};
    send_post();
}

void Client::send_post() {
    if (nonce_.empty()) {
        http_.call({"HEAD", urls_["newNonce"], {}}, [this, alive = alive_](const HttpResult& r) {
            if (*alive)
                on_nonce(r);
        });
        return;
    }
    std::string body;
    try {
        body = jws(pending_.url, pending_.payload, pending_.with_jwk);
    } catch (const CryptoError& e) {
        return fail(e.what());
    }
    http_.call({"POST", pending_.url, std::move(body)}, [this, alive = alive_](HttpResult r) {
        if (*alive)
            on_post(std::move(r));
    });
}

void Client::on_nonce(const HttpResult& r) {
    if (r.nonce.empty())
        return fail("no nonce: " + r.error, retry_after(r));
    nonce_ = r.nonce;
    send_post();
}

void Client::on_post(HttpResult r) {
    if (!r.nonce.empty())
        nonce_ = r.nonce;
    if (r.status == 400) {
        const auto problem = object(r);
        if (problem && text(*problem, "type") == "urn:ietf:params:acme:error:badNonce") {
            // RFC 8555, 6.5: the same request again with the nonce that came with the error.
            if (++pending_.bad_nonces > kMostBadNonces)
                return fail("badNonce, again and again");
            log_.line("acme", "badNonce, once more");
            return send_post();
        }
    }
    if (r.status < 200 || r.status >= 300) {
        std::string why =
            "status " + std::to_string(r.status) + " at step " + std::to_string(static_cast<int>(step_));
        if (!r.error.empty())
            why += ": " + r.error;
        if (const auto problem = object(r))
            why += ": " + text(*problem, "type") + " " + text(*problem, "detail");
        return fail(why, retry_after(r));
    }
    (this->*pending_.then)(r);
}

void Client::on_account(const HttpResult& r) {
    if (r.location.empty())
        return fail("account without a URL");
    account_url_ = r.location;
    Json::Value order{Json::objectValue};
    Json::Value identifier{Json::objectValue};
    identifier["type"] = "dns";
    identifier["value"] = settings_.name;
    order["identifiers"].append(identifier);
    post(Step::order, urls_["newOrder"], compact(order), &Client::on_order);
}

void Client::on_order(const HttpResult& r) {
    const auto json = object(r);
    if (!json || r.location.empty())
        return fail("order without a URL");
    order_url_ = r.location;
    finalize_url_ = text(*json, "finalize");
    authorizations_.clear();
    for (const Json::Value& url : (*json)["authorizations"])
        if (url.isString() && authorizations_.size() < 16)
            authorizations_.push_back(url.asString());
    if (finalize_url_.empty() || authorizations_.empty())
        return fail("order without its parts");
    next_authorization();
}

void Client::next_authorization() {
    if (authorizations_.empty())
        return finalize();
    authorization_url_ = authorizations_.front();
    authorizations_.pop_front();
    polls_ = 0;
    post(Step::authorization, authorization_url_, "", &Client::on_authorization);
}

void Client::on_authorization(const HttpResult& r) {
    const auto json = object(r);
    if (!json)
        return fail("authorization unreadable");
    const std::string status = text(*json, "status");
    if (status == "valid")
        return next_authorization();
    if (status != "pending")
        return fail("authorization is " + status);
    for (const Json::Value& challenge : (*json)["challenges"]) {
        if (!challenge.isObject() || text(challenge, "type") != "dns-01")
            continue;
        const std::string token = text(challenge, "token");
        // The token goes into a hash, but one that is no token means something else is wrong.
        if (token.empty() || !from_base64url(token))
            return fail("challenge with a bad token");
        const std::string name = "_acme-challenge." + text((*json)["identifier"], "value");
        proofs_.show(name, base64url(sha256(token + "." + thumbprint(account_key_))));
        shown_.push_back(name);
        return post(Step::challenge, text(challenge, "url"), "{}", &Client::on_challenge);
    }
    fail("no dns-01 challenge is offered");
}

void Client::on_challenge(const HttpResult& r) {
    poll(Step::validation, authorization_url_, &Client::on_validation, r);
}

void Client::poll(Step step, const std::string& url, Then then, const HttpResult& r) {
    if (++polls_ > kMostPolls)
        return fail("nothing came of it in time");
    after(std::max(kPoll, retry_after(r)), [this, step, url, then] { post(step, url, "", then); });
}

void Client::on_validation(const HttpResult& r) {
    const auto json = object(r);
    const std::string status = json ? text(*json, "status") : "unreadable";
    if (status == "valid")
        return next_authorization();
    if (status != "pending" && status != "processing")
        return fail("authorization is " + status);
    poll(Step::validation, authorization_url_, &Client::on_validation, r);
}

void Client::finalize() {
    clear_proofs();
    polls_ = 0;
    try {
        certificate_key_ = new_key();  // a new one for each certificate
        Json::Value csr{Json::objectValue};
        csr["csr"] = base64url(signing_request(certificate_key_, settings_.name));
        post(Step::finalize, finalize_url_, compact(csr), &Client::on_issue);
    } catch (const CryptoError& e) {
        fail(e.what());
    }
}

void Client::on_issue(const HttpResult& r) {
    const auto json = object(r);
    const std::string status = json ? text(*json, "status") : "unreadable";
    if (status == "valid")
        return post(Step::download, text(*json, "certificate"), "", &Client::on_certificate);
    if (status != "processing" && status != "ready" && status != "pending")
        return fail("order is " + status);
    poll(Step::issue, order_url_, &Client::on_issue, r);
}

void Client::on_certificate(const HttpResult& r) {
    try {
        const Certificate certificate = first_certificate(r.body);
        if (!belongs(certificate, certificate_key_))
            return fail("a certificate for another key");
        if (X509_check_host(certificate.get(), settings_.name.c_str(), 0, 0, nullptr) != 1)
            return fail("a certificate for another name");
        if (not_after(certificate) * 1000 <= clock_.unix_ms())
            return fail("a certificate that has run out");
        Issued issued{r.body, key_pem(certificate_key_)};
        try {
            store_.save("certificate.key", issued.key_pem);
            store_.save("certificate.pem", issued.chain_pem);
        } catch (const std::runtime_error& e) {
            log_.line("acme", "not kept: %s", e.what());  // it serves all the same
        }
        failures_ = 0;
        install(std::move(issued));
    } catch (const CryptoError& e) {
        fail(e.what());
    }
}

// Puts it to use, and orders the next when two thirds of its time are over.
void Client::install(Issued issued) {
    const Certificate certificate = first_certificate(issued.chain_pem);
    const auto from = not_before(certificate) * 1000;
    const auto until = not_after(certificate) * 1000;
    const auto due = std::max<std::int64_t>(1000, from + (until - from) * 2 / 3 - clock_.unix_ms());
    log_.line("acme", "certificate in use, the next is ordered in %lld s",
              static_cast<long long>(due / 1000));
    issued_(issued);
    after(std::chrono::milliseconds{due}, [this] { begin(); });
}

// Gives this order up; the next try comes after a pause that doubles, with some chance so that many do not
// come at once.
void Client::fail(const std::string& why, core::Span at_least) {
    clear_proofs();
    ++failures_;
    core::Span pause = kFirstPause;
    for (int i = 1; i < failures_ && pause < kLongestPause; ++i)
        pause *= 2;
    pause = std::min(pause, kLongestPause);
    pause += pause * static_cast<int>(random_() % 21) / 100;
    pause = std::max(pause, at_least);
    log_.line("acme-failed", "%s; again in %lld s", why.c_str(), static_cast<long long>(pause / 1s));
    after(pause, [this] { begin(); });
}

void Client::clear_proofs() {
    for (const std::string& name : shown_)
        proofs_.clear(name);
    shown_.clear();
}

}  // namespace silverrail::acme

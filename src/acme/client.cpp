#include "acme/client.h"

#include <algorithm>
#include <utility>

#include "acme/base64url.h"
#include "store/file_error.h"

namespace silverrail::acme {

namespace {

using namespace std::chrono_literals;

constexpr core::Span kPollInterval = 1s;
constexpr int kMaxPolls = 60;

constexpr core::Span kFirstRetryDelay = 5s;
constexpr core::Span kMaxRetryDelay = 1h;
constexpr unsigned kMaxJitterPercent = 20;

// A certificate is renewed after two thirds of its validity period.
constexpr int kRenewalShareNumerator = 2;
constexpr int kRenewalShareDenominator = 3;
constexpr std::int64_t kMinRenewalDelayMs = 1000;

constexpr std::int64_t kMsPerSecond = 1000;
constexpr const char* kChallengeLabel = "_acme-challenge.";

bool is_expired(const Certificate& certificate, const core::Clock& clock) {
    return not_after(certificate) * kMsPerSecond <= clock.unix_ms();
}

}  // namespace

Client::Client(ClientSettings settings, Dependencies dependencies, IssuedHandler on_issued)
    : settings_(std::move(settings)),
      dependencies_(std::move(dependencies)),
      on_issued_(std::move(on_issued)),
      random_(dependencies_.seed),
      session_(dependencies_.transport, dependencies_.log, [this](const AcmeError& error) { fail(error); }) {}

Client::~Client() {
    *alive_ = false;
}

void Client::run_after(core::Span delay, std::function<void()> action) {
    dependencies_.timers.at(dependencies_.clock.now() + delay, [alive = alive_, action = std::move(action)] {
        if (*alive)
            action();
    });
}

void Client::start() {
    if (!use_stored_certificate())
        begin_order();
}

// Returns false if there is no stored certificate or it is not usable.
bool Client::use_stored_certificate() {
    const auto chain = dependencies_.store.load(kCertificateFile);
    const auto key = dependencies_.store.load(kCertificateKeyFile);
    if (!chain || !key)
        return false;
    try {
        const Certificate certificate = first_certificate(*chain);
        const bool usable = matches_key(certificate, key_from_pem(*key)) &&
                            !is_expired(certificate, dependencies_.clock) &&
                            matches_host(certificate, settings_.domain);
        if (usable) {
            install({*chain, *key});
            return true;
        }
        dependencies_.log.line("acme", "stored certificate expired or does not match the key or domain");
    } catch (const CryptoError& error) {
        dependencies_.log.line("acme", "cannot load the stored certificate: %s", error.what());
    }
    return false;
}

void Client::begin_order() {
    try {
        load_or_create_account_key();
    } catch (const std::exception& error) {
        return fail(AcmeError{error.what()});
    }
    session_.open(settings_.directory_url, settings_.contact, account_key_, [this] { request_order(); });
}

void Client::load_or_create_account_key() {
    if (account_key_)
        return;
    if (const auto stored = dependencies_.store.load(kAccountKeyFile)) {
        account_key_ = key_from_pem(*stored);
        return;
    }
    account_key_ = generate_key();
    dependencies_.store.save(kAccountKeyFile, key_to_pem(account_key_));
}

void Client::request_order() {
    session_.post("order", session_.directory().new_order_url, order_request(settings_.domain),
                  [this](const HttpResponse& response) { on_order(response); });
}

void Client::on_order(const HttpResponse& response) {
    const auto order = parse_order(response.body);
    if (!order || response.location.empty())
        throw AcmeError{"order is not a JSON object or has no Location header"};
    if (order->finalize_url.empty() || order->authorization_urls.empty())
        throw AcmeError{"order without a finalize URL or authorizations"};
    order_url_ = response.location;
    finalize_url_ = order->finalize_url;
    authorization_urls_.assign(order->authorization_urls.begin(), order->authorization_urls.end());
    request_next_authorization();
}

void Client::request_next_authorization() {
    if (authorization_urls_.empty())
        return finalize();
    authorization_url_ = authorization_urls_.front();
    authorization_urls_.pop_front();
    polls_ = 0;
    session_.post("authorization", authorization_url_, "",
                  [this](const HttpResponse& response) { on_authorization(response); });
}

void Client::on_authorization(const HttpResponse& response) {
    const auto authorization = parse_authorization(response.body);
    if (!authorization)
        throw AcmeError{"authorization is not a JSON object"};
    if (authorization->status == "valid")
        return request_next_authorization();
    if (authorization->status != "pending")
        throw AcmeError{"authorization is " + authorization->status};
    if (!authorization->dns_challenge)
        throw AcmeError{"authorization offers no dns-01 challenge"};
    answer_challenge(authorization->domain, *authorization->dns_challenge);
}

void Client::answer_challenge(const std::string& domain, const DnsChallenge& challenge) {
    // The token is only hashed, but an invalid one indicates a malformed challenge.
    if (challenge.token.empty() || !decode_base64url(challenge.token))
        throw AcmeError{"challenge token is empty or not base64url"};
    const std::string name = kChallengeLabel + domain;
    const std::string key_authorization = challenge.token + "." + jwk_thumbprint(account_key_);
    dependencies_.challenge_records.publish(name, encode_base64url(sha256(key_authorization)));
    published_names_.push_back(name);
    session_.post("challenge", challenge.url, "{}", [this](const HttpResponse& response) {
        poll("validation", authorization_url_, response, &Client::on_authorization_status);
    });
}

void Client::on_authorization_status(const HttpResponse& response) {
    const auto authorization = parse_authorization(response.body);
    const std::string status = authorization ? authorization->status : "unreadable";
    if (status == "valid")
        return request_next_authorization();
    if (status != "pending" && status != "processing")
        throw AcmeError{"authorization is " + status};
    poll("validation", authorization_url_, response, &Client::on_authorization_status);
}

void Client::finalize() {
    remove_challenge_records();
    polls_ = 0;
    certificate_key_ = generate_key();  // each certificate gets a new key
    session_.post("finalize", finalize_url_,
                  finalize_request(signing_request(certificate_key_, settings_.domain)),
                  [this](const HttpResponse& response) { on_order_status(response); });
}

void Client::on_order_status(const HttpResponse& response) {
    const auto order = parse_order(response.body);
    const std::string status = order ? order->status : "unreadable";
    if (status == "valid")
        return session_.post("download", order->certificate_url, "",
                             [this](const HttpResponse& chain) { on_certificate(chain); });
    if (status != "processing" && status != "ready" && status != "pending")
        throw AcmeError{"order is " + status};
    poll("issue", order_url_, response, &Client::on_order_status);
}

void Client::on_certificate(const HttpResponse& response) {
    const Certificate certificate = first_certificate(response.body);
    if (!matches_key(certificate, certificate_key_))
        throw AcmeError{"issued certificate does not match the requested key"};
    if (!matches_host(certificate, settings_.domain))
        throw AcmeError{"issued certificate does not match the domain"};
    if (is_expired(certificate, dependencies_.clock))
        throw AcmeError{"issued certificate has expired"};
    const IssuedCertificate issued{response.body, key_to_pem(certificate_key_)};
    save(issued);
    consecutive_failures_ = 0;
    install(issued);
}

void Client::poll(const char* step, const std::string& url, const HttpResponse& last, PollHandler handler) {
    if (++polls_ > kMaxPolls)
        throw AcmeError{"no final status after " + std::to_string(kMaxPolls) + " polls at " + step};
    run_after(std::max(kPollInterval, retry_after(last)), [this, step, url, handler] {
        session_.post(step, url, "",
                      [this, handler](const HttpResponse& response) { (this->*handler)(response); });
    });
}

// If storing fails, the certificate is still used until the next restart.
void Client::save(const IssuedCertificate& certificate) {
    try {
        dependencies_.store.save(kCertificateKeyFile, certificate.key_pem);
        dependencies_.store.save(kCertificateFile, certificate.chain_pem);
    } catch (const store::FileError& error) {
        dependencies_.log.line("acme", "certificate not stored: %s", error.what());
    }
}

// Puts the certificate into use and schedules its renewal.
void Client::install(const IssuedCertificate& issued) {
    const Certificate certificate = first_certificate(issued.chain_pem);
    const auto from_ms = not_before(certificate) * kMsPerSecond;
    const auto until_ms = not_after(certificate) * kMsPerSecond;
    const auto renewal_ms =
        from_ms + (until_ms - from_ms) * kRenewalShareNumerator / kRenewalShareDenominator;
    const auto delay_ms = std::max(kMinRenewalDelayMs, renewal_ms - dependencies_.clock.unix_ms());
    dependencies_.log.line("acme", "certificate in use; renewal in %lld s",
                           static_cast<long long>(delay_ms / kMsPerSecond));
    on_issued_(issued);
    run_after(std::chrono::milliseconds{delay_ms}, [this] { begin_order(); });
}

// Abandons the current order and schedules a new one.
void Client::fail(const AcmeError& error) {
    remove_challenge_records();
    const core::Span delay = std::max(next_retry_delay(), error.retry_after());
    dependencies_.log.line("acme-failed", "%s; retry in %lld s", error.what(),
                           static_cast<long long>(delay / 1s));
    run_after(delay, [this] { begin_order(); });
}

// The delay doubles with each consecutive failure. Jitter keeps many clients from retrying at the same time.
core::Span Client::next_retry_delay() {
    ++consecutive_failures_;
    core::Span delay = kFirstRetryDelay;
    for (int i = 1; i < consecutive_failures_ && delay < kMaxRetryDelay; ++i)
        delay *= 2;
    delay = std::min(delay, kMaxRetryDelay);
    const auto jitter_percent = static_cast<int>(random_() % (kMaxJitterPercent + 1));
    return delay + delay * jitter_percent / 100;
}

void Client::remove_challenge_records() {
    for (const std::string& name : published_names_)
        dependencies_.challenge_records.remove(name);
    published_names_.clear();
}

}  // namespace silverrail::acme

#include "acme/session.h"

#include <algorithm>
#include <utility>

#include "acme/base64url.h"
#include "config/json_text.h"
#include "config/number.h"

namespace silverrail::acme {

namespace {

constexpr int kMaxBadNonces = 5;
constexpr unsigned kMaxRetryAfterSeconds = 86'400;
constexpr std::chrono::seconds kRetryAfterDateDelay{60};
constexpr const char* kBadNonceType = "urn:ietf:params:acme:error:badNonce";

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kBadRequest = 400;

bool is_success(const HttpResponse& response) {
    return response.status >= kOk && response.status < kFirstRedirect;
}

bool is_bad_nonce(const HttpResponse& response) {
    if (response.status != kBadRequest)
        return false;
    const auto problem = parse_problem(response.body);
    return problem && problem->type == kBadNonceType;
}

AcmeError error_of(const char* step, const HttpResponse& response) {
    std::string reason = "status " + std::to_string(response.status) + " at " + step;
    if (!response.error.empty())
        reason += ": " + response.error;
    if (const auto problem = parse_problem(response.body))
        reason += ": " + problem->type + " " + problem->detail;
    return AcmeError{reason, retry_after(response)};
}

}  // namespace

core::Span retry_after(const HttpResponse& response) {
    if (response.retry_after.empty())
        return {};
    const auto seconds = config::parse_number<unsigned>(response.retry_after);
    if (!seconds)
        return kRetryAfterDateDelay;
    return std::chrono::seconds{std::min(*seconds, kMaxRetryAfterSeconds)};
}

Session::Session(HttpTransport& transport, Log& log, ErrorHandler on_error)
    : transport_(transport), log_(log), on_error_(std::move(on_error)) {}

Session::~Session() {
    *alive_ = false;
}

void Session::guard(const std::function<void()>& action) {
    try {
        action();
    } catch (const AcmeError& error) {
        on_error_(error);
    } catch (const CryptoError& error) {
        on_error_(AcmeError{error.what()});
    }
}

void Session::send(HttpRequest request, std::function<void(HttpResponse)> action) {
    transport_.send(std::move(request),
                    [this, alive = alive_, action = std::move(action)](HttpResponse response) {
                        if (*alive)
                            guard([&] { action(std::move(response)); });
                    });
}

void Session::open(const std::string& directory_url, const std::string& contact,
                   const PrivateKey& account_key, ReadyHandler ready) {
    account_key_ = &account_key;
    account_url_.clear();
    ready_ = std::move(ready);
    send({"GET", directory_url, {}},
         [this, contact](const HttpResponse& response) { read_directory(contact, response); });
}

void Session::read_directory(const std::string& contact, const HttpResponse& response) {
    const auto directory = response.status == kOk ? parse_directory(response.body) : std::nullopt;
    if (!directory) {
        const std::string reason = response.error.empty() ? std::to_string(response.status) : response.error;
        throw AcmeError{"cannot fetch the directory: " + reason, retry_after(response)};
    }
    directory_ = *directory;
    const auto on_account = [this](const HttpResponse& account) {
        if (account.location.empty())
            throw AcmeError{"account response has no Location header"};
        account_url_ = account.location;
        ready_();
    };
    pending_ = {.step = "account",
                .url = directory_.new_account_url,
                .payload = account_request(contact),
                .on_response = on_account,
                .with_public_key = true};
    send_pending();
}

void Session::post(const char* step, std::string url, std::string payload, ResponseHandler on_response) {
    pending_ = {.step = step,
                .url = std::move(url),
                .payload = std::move(payload),
                .on_response = std::move(on_response)};
    guard([this] { send_pending(); });
}

void Session::send_pending() {
    if (nonce_.empty())
        return fetch_nonce();
    send({"POST", pending_.url, sign_pending()},
         [this](const HttpResponse& response) { on_response(response); });
}

void Session::fetch_nonce() {
    send({"HEAD", directory_.new_nonce_url, {}},
         [this](const HttpResponse& response) { on_nonce(response); });
}

void Session::on_nonce(const HttpResponse& response) {
    if (response.nonce.empty())
        throw AcmeError{"no nonce received: " + response.error, retry_after(response)};
    nonce_ = response.nonce;
    send_pending();
}

// The pending request as a JWS in flattened JSON serialization (RFC 7515). Consumes the nonce.
std::string Session::sign_pending() {
    Json::Value header{Json::objectValue};
    header["alg"] = "ES256";
    header["nonce"] = std::exchange(nonce_, {});
    header["url"] = pending_.url;
    if (pending_.with_public_key)
        header["jwk"] = *config::parse_json(public_jwk(*account_key_));
    else
        header["kid"] = account_url_;
    const std::string encoded_header = encode_base64url(config::json_line(header));
    const std::string encoded_payload = encode_base64url(pending_.payload);
    const std::string signature = sign_es256(*account_key_, encoded_header + "." + encoded_payload);
    Json::Value jws{Json::objectValue};
    jws["protected"] = encoded_header;
    jws["payload"] = encoded_payload;
    jws["signature"] = encode_base64url(signature);
    return config::json_line(jws);
}

void Session::on_response(const HttpResponse& response) {
    if (!response.nonce.empty())
        nonce_ = response.nonce;
    if (is_bad_nonce(response)) {
        // RFC 8555, section 6.5: retry the same request with the nonce from the error response.
        if (++pending_.bad_nonces > kMaxBadNonces)
            throw AcmeError{"badNonce after " + std::to_string(kMaxBadNonces) + " retries"};
        log_.line("acme", "badNonce; retrying with a new nonce");
        return send_pending();
    }
    if (!is_success(response))
        throw error_of(pending_.step, response);
    // The handler may replace pending_, which owns it, so it is moved out before the call.
    const ResponseHandler on_response = std::exchange(pending_.on_response, nullptr);
    on_response(response);
}

}  // namespace silverrail::acme

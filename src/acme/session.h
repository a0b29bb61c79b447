// An authenticated session with an ACME authority (RFC 8555, section 6): directory, account, nonces and JWS.
#pragma once

#include <functional>
#include <memory>

#include "acme/crypto.h"
#include "acme/error.h"
#include "acme/http_transport.h"
#include "acme/messages.h"
#include "log/log.h"

namespace silverrail::acme {

// At most one request is in flight. No handler is called after destruction.
class Session {
public:
    // May throw AcmeError or CryptoError, which is passed to the error handler.
    using ResponseHandler = std::function<void(const HttpResponse&)>;
    using ReadyHandler = std::function<void()>;
    using ErrorHandler = std::function<void(const AcmeError&)>;

    // `on_error` is called once when a request fails and is not retried. No other handler of that request is
    // called afterwards.
    Session(HttpTransport& transport, Log& log, ErrorHandler on_error);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Fetches the directory and registers the account, or finds the existing account of that key, then calls
    // `ready`. `account_key` must outlive the session.
    void open(const std::string& directory_url, const std::string& contact, const PrivateKey& account_key,
              ReadyHandler ready);
    // Sends a signed request; the session must be open. A request rejected with badNonce is retried with a
    // new nonce. `payload`: empty for a POST-as-GET. `step`: names the request in errors. `on_response` is
    // called for a 2xx status; any other status is an error.
    void post(const char* step, std::string url, std::string payload, ResponseHandler on_response);
    // The directory fetched by the last open().
    const Directory& directory() const {
        return directory_;
    }
    // Runs `action` and passes AcmeError and CryptoError thrown by it to the error handler.
    void guard(const std::function<void()>& action);

private:
    struct SignedRequest {
        const char* step = "";
        std::string url;
        std::string payload;
        ResponseHandler on_response{};
        bool with_public_key = false;  // instead of the account URL, which is not known yet
        int bad_nonces = 0;
    };

    void read_directory(const std::string& contact, const HttpResponse& response);
    void send_pending();
    void fetch_nonce();
    void on_nonce(const HttpResponse& response);
    void on_response(const HttpResponse& response);
    void send(HttpRequest request, std::function<void(HttpResponse)> action);
    std::string sign_pending();

    HttpTransport& transport_;
    Log& log_;
    ErrorHandler on_error_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    const PrivateKey* account_key_ = nullptr;
    ReadyHandler ready_;
    Directory directory_;
    std::string account_url_;  // empty until the account is registered
    std::string nonce_;        // for the next request; empty if there is none
    SignedRequest pending_;
};

// The delay in the Retry-After header, limited to one day. A date, which is not parsed, counts as one minute.
// 0 if there is no header.
core::Span retry_after(const HttpResponse& response);

}  // namespace silverrail::acme

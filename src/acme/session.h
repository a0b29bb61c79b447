// The signed exchange with an authority (RFC 8555, section 6): directory, account, nonces and JWS.
#pragma once

#include <functional>
#include <memory>

#include "acme/crypto.h"
#include "acme/error.h"
#include "acme/http_transport.h"
#include "acme/messages.h"
#include "log/log.h"

namespace silverrail::acme {

// One request is in flight at a time. Nothing is called after the destructor.
class Session {
public:
    // May throw AcmeError or CryptoError, which then goes to the error handler.
    using ResponseHandler = std::function<void(const HttpResponse&)>;
    using ReadyHandler = std::function<void()>;
    using ErrorHandler = std::function<void(const AcmeError&)>;

    // `on_error` is called once for a request that fails for good; no handler of that request follows.
    Session(HttpTransport& transport, Log& log, ErrorHandler on_error);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Reads the directory and registers the account, which is always the same for one key; then calls
    // `ready`. `account_key` outlives the session.
    void open(const std::string& directory_url, const std::string& contact, const PrivateKey& account_key,
              ReadyHandler ready);
    // Once open: sends a signed request, again with the new nonce if that of the last one was not accepted.
    // `payload`: empty for a POST-as-GET. `step`: named in errors. `on_response` gets a response with a
    // status of 2xx, any other is an error.
    void post(const char* step, std::string url, std::string payload, ResponseHandler on_response);
    // Of the last open().
    const Directory& directory() const {
        return directory_;
    }
    // Runs `action` as if it were a response handler: what it throws goes to the error handler.
    void guard(const std::function<void()>& action);

private:
    struct SignedRequest {
        const char* step = "";
        std::string url;
        std::string payload;
        ResponseHandler on_response{};
        bool with_public_key = false;  // in place of the account's URL, which is not known yet
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
    std::string nonce_;        // for the next request; empty: none
    SignedRequest pending_;
};

// The time of a Retry-After header in seconds, a day at most; a date counts as a minute. 0 if there is none.
core::Span retry_after(const HttpResponse& response);

}  // namespace silverrail::acme

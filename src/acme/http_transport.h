// HTTPS as the ACME client sees it.
#pragma once

#include <functional>
#include <string>

namespace silverrail::acme {

struct HttpRequest {
    std::string method{};  // GET, HEAD or POST
    std::string url{};
    std::string body{};  // of a POST: a JWS in JSON
};

// The fields that ACME reads; each is empty if the response does not have it.
struct HttpResponse {
    unsigned status = 0;  // 0: there was no response
    std::string body{};
    std::string location{};
    std::string nonce{};        // Replay-Nonce
    std::string retry_after{};  // Retry-After, as it stands in the header
    std::string error{};        // why there was no response
};

class HttpTransport {
public:
    virtual ~HttpTransport() = default;
    // Calls `done` once, with a response or an error; this may be before it returns.
    virtual void send(HttpRequest request, std::function<void(HttpResponse)> done) = 0;
};

}  // namespace silverrail::acme

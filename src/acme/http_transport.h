// The HTTPS interface of the ACME client.
#pragma once

#include <functional>
#include <string>

namespace silverrail::acme {

struct HttpRequest {
    std::string method{};  // GET, HEAD or POST
    std::string url{};
    std::string body{};  // for POST: a JWS in JSON
};

// The response fields that ACME uses. A field that the response lacks is empty.
struct HttpResponse {
    unsigned status = 0;  // 0: no response was received
    std::string body{};
    std::string location{};
    std::string nonce{};        // Replay-Nonce
    std::string retry_after{};  // Retry-After, unparsed
    std::string error{};        // why no response was received
};

class HttpTransport {
public:
    virtual ~HttpTransport() = default;
    // Calls `done` exactly once, with a response or an error, possibly before this returns.
    virtual void send(HttpRequest request, std::function<void(HttpResponse)> done) = 0;
};

}  // namespace silverrail::acme

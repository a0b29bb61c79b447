// The platform's HTTP/1.1 protocol: converts HTTP requests to core::ClientRequest and core::ClientResponse to
// HTTP responses. All routing decisions are made by the core.
#pragma once

#include <array>
#include <functional>
#include <string>
#include <variant>

#include "core/engine.h"
#include "lifecycle.h"
#include "net/http_server.h"

namespace silverrail::front {

// The header fields of a request that the platform's protocol defines.
extern const std::array<std::string_view, 6> kRequestFields;

// Why a request does not follow the platform's protocol. Logged, not sent to the client.
struct RequestError {
    std::string reason;
};

// `arrived`: when the last byte of the request was received. The deadline is relative to this time.
std::variant<core::ClientRequest, RequestError> parse_request(net::HttpRequest request, core::Time arrived);
net::HttpResponse response_of(core::ClientResponse answer);

// Serves the platform's requests: health and counters directly, all others through the engine.
class Platform {
public:
    Platform(core::Engine& engine, const Lifecycle& lifecycle, Log& log)
        : engine_(engine), lifecycle_(lifecycle), log_(log) {}
    // Sets the source of the lines that follow the core's counters in the response to `GET /counters`.
    void set_additional_counters(std::function<std::string()> counters) {
        additional_counters_ = std::move(counters);
    }
    // Handles a fully received request. The response may be sent after this returns.
    void handle(const std::shared_ptr<net::HttpSession>& session, net::HttpRequest request);

private:
    net::HttpResponse health_response() const;
    net::HttpResponse counters_response() const;

    core::Engine& engine_;
    const Lifecycle& lifecycle_;
    Log& log_;
    std::function<std::string()> additional_counters_;
};

}  // namespace silverrail::front

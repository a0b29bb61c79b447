// The platform's protocol (HTTP/1.1): maps requests to core::ClientRequest and answers to responses. It
// decides nothing.
#pragma once

#include <functional>
#include <string>
#include <variant>

#include "core/engine.h"
#include "lifecycle.h"
#include "net/http_server.h"

namespace silverrail::front {

// Why a request is not one of the platform's; for the log.
struct RequestError {
    std::string reason;
};

// `arrived`: when the request's last byte came; its deadline counts from then.
std::variant<core::ClientRequest, RequestError> parse_request(net::HttpRequest request, core::Time arrived);
// The response that stands for an answer.
net::HttpResponse response_of(core::ClientResponse answer);

// Answers the platform's requests: health, counters, and everything else by the engine.
class Platform {
public:
    Platform(core::Engine& engine, const Lifecycle& lifecycle, Log& log)
        : engine_(engine), lifecycle_(lifecycle), log_(log) {}
    // Lines that `GET /counters` shows after the core's.
    void set_additional_counters(std::function<std::string()> counters) {
        additional_counters_ = std::move(counters);
    }
    // Handles a request that was read whole, and answers it now or later.
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

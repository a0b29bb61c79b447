// The platform's protocol (HTTP/1.1): requests into the core's calls, answers into responses. No decisions.
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
std::variant<core::ClientRequest, RequestError> parse_call(net::HttpRequest request, core::Time arrived);
net::HttpResponse response_of(core::Answer answer);

class Platform {
public:
    Platform(core::Engine& engine, const Lifecycle& lifecycle, Log& log)
        : engine_(engine), lifecycle_(lifecycle), log_(log) {}
    // Lines that `GET /counters` shows behind the core's.
    void also_count(std::function<std::string()> more) {
        more_counters_ = std::move(more);
    }
    void handle(const std::shared_ptr<net::HttpSession>& session, net::HttpRequest request);

private:
    net::HttpResponse health_response() const;
    net::HttpResponse counters_response() const;

    core::Engine& engine_;
    const Lifecycle& lifecycle_;
    Log& log_;
    std::function<std::string()> more_counters_;
};

}  // namespace silverrail::front

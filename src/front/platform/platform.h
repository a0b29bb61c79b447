// The platform's protocol: HTTP requests into calls, answers into HTTP responses. No decisions.
#pragma once

#include <optional>
#include <variant>

#include "core/engine.h"
#include "lifecycle.h"
#include "net/http_server.h"

namespace silverrail::front {

// The call in a request, or the reason why there is none.
std::variant<core::ClientRequest, std::string> parse_call(net::HttpRequest request, core::Time arrived);
net::HttpResponse response_of(core::Answer answer);

class Platform {
public:
    Platform(core::Engine& engine, const Lifecycle& lifecycle, Log& log)
        : engine_(engine), lifecycle_(lifecycle), log_(log) {}
    // Further lines for `GET /counters`.
    void also_count(std::function<std::string()> more) {
        more_counters_ = std::move(more);
    }
    void handle(const std::shared_ptr<net::HttpSession>& session, net::HttpRequest request);

private:
    core::Engine& engine_;
    const Lifecycle& lifecycle_;
    Log& log_;
    std::function<std::string()> more_counters_;
};

}  // namespace silverrail::front

// The open requests and their attempts, shared by the engine's stages.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "core/ports.h"

namespace silverrail::core {

struct ActiveAttempt {
    Time started{};
    bool in_flight = true;
    Timers::Handle timeout_timer = 0;
    std::optional<AttemptRequest> request{};  // set from the time it is sent until it ends
};

struct ActiveRequest {
    static constexpr std::size_t kNoClass = static_cast<std::size_t>(-1);
    RequestId id{};  // 0: answered at intake, so never open
    std::shared_ptr<const ClientRequest> client_request;
    std::size_t class_index = kNoClass;
    Time received{};
    std::shared_ptr<ResponseSink> sink;  // null once answered or once the client has closed
    Timers::Handle deadline_timer = 0;
    std::vector<ActiveAttempt> attempts;
    std::optional<AttemptStatus> last_attempt_status{};
    bool run_recorded = false;    // in ExecutedRequests, by this request
    bool has_run_before = false;  // another request with its id may have run

    bool answered() const {
        return !sink;
    }
    bool has_attempt_in_flight() const {
        return std::ranges::any_of(attempts, &ActiveAttempt::in_flight);
    }
};

using ActiveRequests = std::map<RequestId, ActiveRequest>;

}  // namespace silverrail::core

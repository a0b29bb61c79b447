// Sends the single final response to a request and counts it.
#pragma once

#include "core/engine_state.h"

namespace silverrail::core {

// Responses by kind. `timed_out`: the deadline has passed.
ClientResponse served(AttemptResult result);
ClientResponse rejected(Span retry_after, bool timed_out);
ClientResponse failed(bool timed_out);
ClientResponse redirected(std::string server_address);

class Completion {
public:
    explicit Completion(EngineState& state) : state_(state) {}
    // No-op if the request has already been answered or its client has closed.
    void complete(ActiveRequest& request, ClientResponse response);

private:
    void count(std::size_t class_index, ClientResponse::Kind kind);

    EngineState& state_;
};

}  // namespace silverrail::core

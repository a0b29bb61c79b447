// Completion: gives a request its one final answer and counts it.
#pragma once

#include "core/engine_state.h"

namespace silverrail::core {

// Answers by kind. `timed_out`: the deadline has passed.
Answer served(AttemptResult result);
Answer rejected(Span retry_after, bool timed_out);
Answer failed(bool timed_out);
Answer redirected(std::string server_address);

class Completion {
public:
    explicit Completion(EngineState& state) : state_(state) {}
    // Does nothing where the request has had its answer, or its client has closed.
    void complete(ActiveRequest& request, Answer answer);

private:
    void count(std::size_t class_index, Answer::Kind kind);

    EngineState& state_;
};

}  // namespace silverrail::core

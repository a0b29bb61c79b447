// Carries out the decision module's Send and Cancel actions, tracks each attempt until it ends, and reports
// its outcome to the module.
#pragma once

#include <map>
#include <string>

#include "core/accounting.h"
#include "core/attempt_builder.h"
#include "core/completion.h"
#include "core/engine_state.h"
#include "core/response_cache_stage.h"
#include "core/routing_stage.h"

namespace silverrail::core {

class Forwarding : private AttemptEvents {
public:
    Forwarding(EngineState& state, ResponseCacheStage& cache, Completion& completion, RoutingStage& routing);

    void start(const routing::Send& send);
    void cancel(const AttemptKey& key);
    // Cancels all of the request's attempts that are in flight.
    void cancel_attempts(RequestId id);

    // Attempts sent to cache servers in other zones, by zone. The number of zones is bounded.
    const std::map<std::string, std::uint64_t>& attempts_by_remote_zone() const {
        return attempts_by_remote_zone_;
    }

private:
    std::optional<Span> before_first_byte(const AttemptKey& key) override;
    void written() override {
        ++state_.counters.backend_calls;
    }
    void ended(const AttemptKey& key, AttemptResult result) override;

    void end_unsent(const AttemptKey& key);
    void redirect(ActiveRequest& request, const AttemptRequest& attempt);
    void send(ActiveRequest& request, AttemptRequest attempt);
    void count_remote_zone(const AttemptRequest& attempt);
    void timed_out(const AttemptKey& key);
    Guard::FirstByteConditions first_byte_conditions(ActiveRequest& request, const AttemptRequest& attempt,
                                                     Time now);
    bool record_run(ActiveRequest& request);
    void log_suppression(const ActiveRequest& request, const AttemptRequest& attempt,
                         SuppressionReason reason) const;

    EngineState& state_;
    ResponseCacheStage& cache_;
    Completion& completion_;
    RoutingStage& routing_;
    AttemptBuilder builder_;
    Accounting accounting_;
    std::map<std::string, std::uint64_t> attempts_by_remote_zone_;
};

}  // namespace silverrail::core

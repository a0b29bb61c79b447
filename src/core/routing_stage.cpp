#include "core/routing_stage.h"

#include <algorithm>
#include <utility>

namespace silverrail::core {

namespace {

// ServerRegistry::router_view sets the effective weight of each server, which includes its zone's factor.
routing::Settings with_nominal_weights(routing::Settings settings) {
    settings.server_weights = routing::ServerWeights::nominal;
    return settings;
}

}  // namespace

RoutingStage::RoutingStage(EngineState& state, std::uint64_t seed, ActionHandler& handler)
    : state_(state), handler_(handler), router_(with_nominal_weights(state.settings), seed) {}

void RoutingStage::notify(routing::Event event) {
    waiting_.push_back(std::move(event));
    if (std::exchange(handling_, true))
        return;
    while (!waiting_.empty()) {
        const routing::Event next = std::move(waiting_.front());
        waiting_.pop_front();
        handle(next);
    }
    handling_ = false;
}

void RoutingStage::notify(routing::Event event, const EventCause& cause) {
    cause_ = cause;
    notify(std::move(event));
    cause_ = {};
}

void RoutingStage::handle(const routing::Event& event) {
    last_event_time_ = std::max(last_event_time_, state_.clock.now());
    const auto actions = router_.on(event, last_event_time_);
    if (state_.observer) {
        EventCause cause = cause_;
        cause.requests = &state_.requests;
        state_.observer->event_handled(event, last_event_time_, actions, cause);
    }
    for (const auto& action : actions)
        handler_.carry_out(action);
    handler_.event_done(event);
}

}  // namespace silverrail::core

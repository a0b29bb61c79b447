// Passes events to the decision module, one at a time, and its actions to the engine.
#pragma once

#include <deque>
#include <vector>

#include "core/engine_state.h"

namespace silverrail::core {

// Carries out the decision module's actions.
class ActionHandler {
public:
    virtual ~ActionHandler() = default;
    virtual void carry_out(const routing::Action& action) = 0;
    // All actions that the decision module returned for `event` have been carried out.
    virtual void event_done(const routing::Event& event) = 0;
};

class RoutingStage {
public:
    RoutingStage(EngineState& state, std::uint64_t seed, ActionHandler& handler);

    // Events that arise while another one is being handled are queued.
    void notify(routing::Event event);
    // The same, with the event's cause for the observer.
    void notify(routing::Event event, const EventCause& cause);

    void set_process_count(std::size_t processes) {
        router_.set_process_count(static_cast<int>(processes));
    }
    bool is_outlier(const ServerId& id) const {
        return router_.is_outlier(id);
    }
    routing::Router::Sizes sizes() const {
        return router_.sizes();
    }

private:
    void handle(const routing::Event& event);

    EngineState& state_;
    ActionHandler& handler_;
    routing::Router router_;
    Time last_event_time_{};  // the module's time must be monotonic
    EventCause cause_;
    std::deque<routing::Event> waiting_;
    bool handling_ = false;
};

}  // namespace silverrail::core

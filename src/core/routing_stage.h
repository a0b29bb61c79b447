// Routing: notifies the decision module of events, one at a time, and passes on the actions that it returns.
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
    // All actions that `event` led to are carried out.
    virtual void event_done(const routing::Event& event) = 0;
};

class RoutingStage {
public:
    RoutingStage(EngineState& state, std::uint64_t seed, ActionHandler& handler);

    // Events that arise while an earlier one is handled wait for their turn.
    void notify(routing::Event event);
    // The same, with what the event was made from, for the observer.
    void notify(routing::Event event, const EventCause& origin);

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
    Time last_event_time_{};  // time must not run backwards for the module
    EventCause origin_;
    std::deque<routing::Event> waiting_;
    bool handling_ = false;
};

}  // namespace silverrail::core

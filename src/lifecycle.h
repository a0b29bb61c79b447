// The program's phases, from start to exit, as named states of one object.
#pragma once

#include <functional>
#include <string_view>
#include <utility>

namespace silverrail {

class Lifecycle {
public:
    enum class Phase {
        starting,   // reading the configuration, opening the listeners
        ready,      // serving
        draining,   // asked to end: new connections and requests are still accepted
        finishing,  // nothing new is accepted; open requests are answered
        stopped
    };
    using Change = std::function<void(Phase)>;

    void on_change(Change change) {
        change_ = std::move(change);
    }
    Phase phase() const {
        return phase_;
    }
    bool ready() const {
        return phase_ == Phase::ready;
    }
    // Phases only go forwards; a step back or a repeat changes nothing and returns false.
    bool enter(Phase next) {
        if (next <= phase_)
            return false;
        phase_ = next;
        if (change_)
            change_(next);
        return true;
    }
    static constexpr std::string_view name(Phase phase) {
        switch (phase) {
            case Phase::starting:
                return "starting";
            case Phase::ready:
                return "ready";
            case Phase::draining:
                return "draining";
            case Phase::finishing:
                return "finishing";
            case Phase::stopped:
                return "stopped";
        }
        return "unknown";
    }

private:
    Phase phase_ = Phase::starting;
    Change change_;
};

}  // namespace silverrail

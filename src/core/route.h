// Route: the decision module, and the events it is told.
#pragma once

#include <algorithm>
#include <vector>

#include "core/types.h"

namespace silverrail::core {

class Route {
public:
    Route(routing::Settings settings, std::uint64_t seed) : router_(std::move(settings), seed) {}
    std::vector<routing::Action> tell(const routing::Event& event, Time now);
    Time last() const {
        return last_;
    }  // what the module was given as the time of the last event
    void share_with(std::size_t processes) {
        router_.share_with(static_cast<int>(processes));
    }
    bool avoids(const ServerId& id) const {
        return router_.avoids(id);
    }
    routing::Router::Sizes sizes() const {
        return router_.sizes();
    }

private:
    routing::Router router_;
    Time last_{};  // the module's time must not run backwards
};

}  // namespace silverrail::core

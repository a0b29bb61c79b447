// Route: the decision module, and the events it is told.
#pragma once

#include <algorithm>
#include <vector>

#include "core/types.h"

namespace silverrail::core {

class Route {
public:
    Route(winchflow::Settings settings, std::uint64_t seed) : router_(std::move(settings), seed) {}
    std::vector<winchflow::Action> tell(const winchflow::Event& event, Time now);
    Time last() const {
        return last_;
    }  // what the module was given as the time of the last event
    void share_with(std::size_t processes) {
        router_.share_with(static_cast<int>(processes));
    }
    bool avoids(const CacheId& id) const {
        return router_.avoids(id);
    }
    winchflow::Router::Sizes sizes() const {
        return router_.sizes();
    }

private:
    winchflow::Router router_;
    Time last_{};  // the module's time must not run backwards
};

}  // namespace silverrail::core

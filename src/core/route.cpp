#include "core/route.h"

#include <algorithm>

namespace silverrail::core {

std::vector<routing::Action> Route::tell(const routing::Event& event, Time now) {
    last_ = std::max(last_, now);
    return router_.on(event, last_);
}

}  // namespace silverrail::core

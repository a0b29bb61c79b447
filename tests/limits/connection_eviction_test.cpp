// Which client connections may be evicted, and in which order.
#include "limits/connection_eviction.h"

#include "../silverrail/check.h"

using namespace silverrail::limits;
using namespace std::chrono_literals;

namespace {

void each_activity_has_its_priority() {
    using Phase = ConnectionActivity::Phase;
    const std::optional<EvictionPriority> never;
    struct Row {
        ConnectionActivity activity;
        std::optional<EvictionPriority> expected;
    };
    const Row rows[] = {
        {{Phase::answering, false, false, 60s}, never},  // a request is in progress
        {{Phase::answering, true, true, 60s}, never},
        {{Phase::closing, true, false, 0s}, EvictionPriority::closing},  // its last response has been sent
        {{Phase::awaiting_request, false, false, 1s}, EvictionPriority::silent},
        {{Phase::awaiting_request, false, false, 999ms}, EvictionPriority::newcomer},
        {{Phase::awaiting_request, false, false, 0s}, EvictionPriority::newcomer},
        {{Phase::awaiting_request, false, true, 0s}, never},  // a slow client that makes progress
        {{Phase::awaiting_request, false, true, 1s}, never},
        {{Phase::awaiting_request, false, true, 1001ms}, EvictionPriority::stalled},
        {{Phase::awaiting_request, true, true, 1s}, never},
        {{Phase::awaiting_request, true, true, 2s}, EvictionPriority::stalled},
        {{Phase::awaiting_request, true, false, 0s}, EvictionPriority::idle},  // kept alive
        {{Phase::awaiting_request, true, false, 60s}, EvictionPriority::idle},
    };
    for (const Row& row : rows)
        CHECK(eviction_priority(row.activity) == row.expected);
}

void newcomers_are_evicted_last() {
    CHECK(EvictionPriority::closing < EvictionPriority::silent &&
          EvictionPriority::silent < EvictionPriority::stalled);
    CHECK(EvictionPriority::stalled < EvictionPriority::idle &&
          EvictionPriority::idle < EvictionPriority::newcomer);
}

}  // namespace

int main() {
    each_activity_has_its_priority();
    newcomers_are_evicted_last();
    std::puts("connection eviction: all cases passed");
}

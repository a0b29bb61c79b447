// Who watches the core: traces and measures. Told of what happened, asked nothing, and never able to change
// it.
#pragma once

#include <vector>

#include "core/fleet.h"
#include "core/open_call.h"
#include "core/purges.h"

namespace silverrail::core {

// What an event that the module was told of came from; those that it did not come from are absent.
struct Origin {
    const OpenCalls* calls = nullptr;  // all that are open, before the module's actions are carried out
    const ServerChange* change = nullptr;
    const PurgeNotice* purge = nullptr;
};

class Observer {
public:
    virtual ~Observer() = default;
    // The module was told `event` at `now`, the time it was given, and said `actions`. In order, no two at
    // once.
    virtual void told(const routing::Event& event, Time now, const std::vector<routing::Action>& actions,
                      const Origin& origin) = 0;
    // A call that was answered at the door: the module never hears of it. Its answer comes next.
    virtual void turned_away(const Call& call, std::size_t class_index, Time now) = 0;
    // An attempt's first byte was due; absent `oldest`: it was held back.
    virtual void first_byte(const AttemptKey& key, std::optional<Span> oldest, bool tightened, Time now) = 0;
    // `id` is 0 for one that was turned away.
    virtual void answered(RequestId id, const Answer& answer, Time now) = 0;
};

}  // namespace silverrail::core

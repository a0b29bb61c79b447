// The calls that are open, shared by the stages.
#pragma once

#include <map>
#include <memory>

#include "core/ports.h"

namespace silverrail::core {

struct OpenAttempt {
    Time sent{};
    bool out = true;
    Timers::Handle timer = 0;  // its time-out
    std::optional<Order> order{};
};

struct OpenCall {
    static constexpr std::size_t kNoClass = static_cast<std::size_t>(-1);
    RequestId id{};  // 0: turned away, never open
    std::shared_ptr<const Call> call;
    std::size_t class_index = kNoClass;
    Time taken{};
    std::shared_ptr<ReplySink> sink;  // absent once the final answer is given or the client has gone
    Timers::Handle guard = 0;         // the deadline
    std::vector<OpenAttempt> attempts;
    std::optional<AttemptStatus> last_ending{};  // of an attempt

    bool answered() const {
        return !sink;
    }
    bool idle() const {
        for (const OpenAttempt& a : attempts)
            if (a.out)
                return false;
        return true;
    }
};

using OpenCalls = std::map<RequestId, OpenCall>;

}  // namespace silverrail::core
